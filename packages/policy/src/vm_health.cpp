// Failure rates that forget, compared with the mean of the peers' rates.
#include "vm_health.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::policy {
namespace {

constexpr double kept_an_end = 0.95;  // weight of earlier ends after each further one
constexpr double fewest_failures = 3;
constexpr double lowest_bad_rate = 0.5;
constexpr double times_peers_rate = 3;
constexpr int probes_to_release = 3;
constexpr std::size_t vms_of_a_bad_job = 3;
constexpr std::size_t most_failing_jobs = 4096;

}  // namespace

bool vm_health::failing_job::bad() const {
    return !succeeded && failed_on.size() >= vms_of_a_bad_job;
}

vm_health::record& vm_health::at(vm_index i) {
    if (i.value() >= records_.size()) {
        records_.resize(i.value() + 1);
    }
    return records_[i.value()];
}

void vm_health::ended(vm_index i, const base::job_id& job, end_kind end, base::time_point now) {
    if (end == end_kind::stopped) {
        at(i).probing = false;
        return;
    }
    const bool failed = end != end_kind::completed;
    if (failed && !counts_against_vm(i, job, end)) {
        at(i).probing = false;
        return;
    }
    if (!failed) {
        const auto it = failing_.find(job);
        if (it != failing_.end()) {
            it->second.succeeded = true;
        }
    }
    count(i, failed);
    if (at(i).in_quarantine) {
        probe_ended(i, failed, now);
    } else if (suspect(at(i)) && in_quarantine_.size() < most_quarantined()) {
        begin_quarantine(i, now);
    }
}

// Notes the failure with its job; false when it is the job that is bad. A lost task says nothing
// about its job.
bool vm_health::counts_against_vm(vm_index i, const base::job_id& job, end_kind end) {
    if (end == end_kind::lost) {
        return true;
    }
    const auto [it, added] = failing_.try_emplace(job);
    if (added) {
        failing_order_.push_back(job);
        if (failing_order_.size() > most_failing_jobs) {
            failing_.erase(failing_order_.front());
            failing_order_.pop_front();
        }
    }
    failing_job& one = it->second;
    if (one.bad()) {
        return false;
    }
    if (std::find(one.failed_on.begin(), one.failed_on.end(), i) != one.failed_on.end()) {
        return one.succeeded;  // once a VM, until the job has shown that it can succeed
    }
    one.failed_on.push_back(i);
    if (!one.bad()) {
        return true;
    }
    for (const vm_index it : one.failed_on) {
        if (it != i) {
            take_back(it);
        }
    }
    return false;
}

void vm_health::count(vm_index i, bool failed) {
    record& it = at(i);
    rates_ -= it.rate();
    rated_vms_ += it.ends == 0 ? 1 : 0;
    it.ends = it.ends * kept_an_end + 1;
    it.failures = it.failures * kept_an_end + (failed ? 1 : 0);
    rates_ += it.rate();
}

void vm_health::take_back(vm_index i) {
    record& it = at(i);
    if (it.ends == 0) {
        return;
    }
    rates_ -= it.rate();
    it.failures = std::max(0.0, it.failures - 1);
    rates_ += it.rate();
    if (it.in_quarantine && !suspect(it)) {
        end_quarantine(i);
    }
}

bool vm_health::suspect(const record& one) const {
    if (one.failures < fewest_failures * kept_an_end || one.rate() < lowest_bad_rate) {
        return false;
    }
    const double peers = static_cast<double>(rated_vms_) - 1;
    const double peers_rate = peers > 0 ? std::max(0.0, rates_ - one.rate()) / peers : 0;
    return one.rate() >= times_peers_rate * peers_rate;
}

void vm_health::probe_ended(vm_index i, bool failed, base::time_point now) {
    record& it = at(i);
    it.probing = false;
    if (!failed) {
        if (++it.probes_succeeded >= probes_to_release) {
            end_quarantine(i);
        }
        return;
    }
    it.probes_succeeded = 0;
    it.probe_after = std::min(it.probe_after * 2, settings_.longest_probe);
    it.next_probe = now + it.probe_after;
}

void vm_health::begin_quarantine(vm_index i, base::time_point now) {
    record& it = at(i);
    it.in_quarantine = true;
    it.probing = false;
    it.probes_succeeded = 0;
    it.probe_after = settings_.first_probe;
    it.next_probe = now + it.probe_after;
    in_quarantine_.push_back(i);
    changed_.push_back(i);
}

void vm_health::end_quarantine(vm_index i) {
    record& it = at(i);
    it.in_quarantine = false;
    rates_ -= it.rate();
    it.failures = 0;
    in_quarantine_.erase(std::find(in_quarantine_.begin(), in_quarantine_.end(), i));
    changed_.push_back(i);
}

void vm_health::forget(vm_index i) {
    record& it = at(i);
    if (it.in_quarantine) {
        end_quarantine(i);
    }
    rates_ -= it.rate();
    rated_vms_ -= it.ends > 0 ? 1 : 0;
    it = record{};
}

void vm_health::set_known_vms(std::size_t n) {
    known_vms_ = n;
    keep_below_most();
}

// When VMs go, the quarantined one that fails least comes back.
void vm_health::keep_below_most() {
    while (in_quarantine_.size() > most_quarantined()) {
        const auto least =
            std::min_element(in_quarantine_.begin(), in_quarantine_.end(),
                             [&](vm_index a, vm_index b) { return at(a).rate() < at(b).rate(); });
        end_quarantine(*least);
    }
}

std::size_t vm_health::most_quarantined() const {
    return static_cast<std::size_t>(static_cast<double>(known_vms_) * settings_.most_quarantined);
}

bool vm_health::quarantined(vm_index i) const {
    return i.value() < records_.size() && records_[i.value()].in_quarantine;
}

std::vector<vm_index> vm_health::due_probes(base::time_point now) const {
    std::vector<vm_index> due;
    for (const vm_index it : in_quarantine_) {
        const record& one = records_[it.value()];
        if (!one.probing && one.next_probe <= now) {
            due.push_back(it);
        }
    }
    return due;
}

void vm_health::probe_started(vm_index i) {
    at(i).probing = true;
}

std::vector<vm_index> vm_health::take_changes() {
    return std::exchange(changed_, {});
}

}  // namespace cranberrydock::policy
