// Failure rates with exponential decay, compared with the mean rate of the other VMs.
#include "vm_health.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::policy {
namespace {

constexpr double decay_per_completion =
    0.95;  // weight of earlier completions after each further one
constexpr double min_failures = 3;
constexpr double min_failure_rate = 0.5;
constexpr double min_ratio_to_peers = 3;
constexpr int probes_to_release = 3;
constexpr std::size_t min_vms_to_blame_job = 3;
constexpr std::size_t max_failing_jobs = 4096;

}  // namespace

bool vm_health::failing_job::at_fault() const {
    return !succeeded && failed_on.size() >= min_vms_to_blame_job;
}

vm_health::record& vm_health::at(vm_index i) {
    if (i.value() >= records_.size()) {
        records_.resize(i.value() + 1);
    }
    return records_[i.value()];
}

void vm_health::record_completion(vm_index i, const base::job_id& job, completion_kind end,
                                  base::time_point now) {
    if (end == completion_kind::stopped) {
        at(i).probing = false;
        return;
    }
    const bool failed = end != completion_kind::completed;
    if (failed && !counts_against_vm(i, job, end)) {
        at(i).probing = false;
        return;
    }
    if (!failed) {
        const auto it = failing_jobs_.find(job);
        if (it != failing_jobs_.end()) {
            it->second.succeeded = true;
        }
    }
    count_completion(i, failed);
    if (at(i).in_quarantine) {
        record_probe_result(i, failed, now);
    } else if (suspect(at(i)) && in_quarantine_.size() < max_quarantined()) {
        begin_quarantine(i, now);
    }
}

// Records the failure for its job. Returns false if the job itself is at fault. A lost task is not
// evidence against its job.
bool vm_health::counts_against_vm(vm_index i, const base::job_id& job, completion_kind end) {
    if (end == completion_kind::lost) {
        return true;
    }
    const auto [it, added] = failing_jobs_.try_emplace(job);
    if (added) {
        failing_job_order_.push_back(job);
        if (failing_job_order_.size() > max_failing_jobs) {
            failing_jobs_.erase(failing_job_order_.front());
            failing_job_order_.pop_front();
        }
    }
    failing_job& failing = it->second;
    if (failing.at_fault()) {
        return false;
    }
    if (std::find(failing.failed_on.begin(), failing.failed_on.end(), i) !=
        failing.failed_on.end()) {
        return failing.succeeded;  // counts once per VM until the job has succeeded somewhere
    }
    failing.failed_on.push_back(i);
    if (!failing.at_fault()) {
        return true;
    }
    for (const vm_index it : failing.failed_on) {
        if (it != i) {
            undo_failure(it);
        }
    }
    return false;
}

void vm_health::count_completion(vm_index i, bool failed) {
    record& it = at(i);
    rate_sum_ -= it.rate();
    rated_vms_ += it.completions == 0 ? 1 : 0;
    it.completions = it.completions * decay_per_completion + 1;
    it.failures = it.failures * decay_per_completion + (failed ? 1 : 0);
    rate_sum_ += it.rate();
}

void vm_health::undo_failure(vm_index i) {
    record& it = at(i);
    if (it.completions == 0) {
        return;
    }
    rate_sum_ -= it.rate();
    it.failures = std::max(0.0, it.failures - 1);
    rate_sum_ += it.rate();
    if (it.in_quarantine && !suspect(it)) {
        end_quarantine(i);
    }
}

bool vm_health::suspect(const record& vm_record) const {
    if (vm_record.failures < min_failures * decay_per_completion ||
        vm_record.rate() < min_failure_rate) {
        return false;
    }
    const double peers = static_cast<double>(rated_vms_) - 1;
    const double peers_rate = peers > 0 ? std::max(0.0, rate_sum_ - vm_record.rate()) / peers : 0;
    return vm_record.rate() >= min_ratio_to_peers * peers_rate;
}

void vm_health::record_probe_result(vm_index i, bool failed, base::time_point now) {
    record& it = at(i);
    it.probing = false;
    if (!failed) {
        if (++it.probes_succeeded >= probes_to_release) {
            end_quarantine(i);
        }
        return;
    }
    it.probes_succeeded = 0;
    it.probe_after = std::min(it.probe_after * 2, settings_.max_probe_delay);
    it.next_probe = now + it.probe_after;
}

void vm_health::begin_quarantine(vm_index i, base::time_point now) {
    record& it = at(i);
    it.in_quarantine = true;
    it.probing = false;
    it.probes_succeeded = 0;
    it.probe_after = settings_.initial_probe_delay;
    it.next_probe = now + it.probe_after;
    in_quarantine_.push_back(i);
    changed_.push_back(i);
}

void vm_health::end_quarantine(vm_index i) {
    record& it = at(i);
    it.in_quarantine = false;
    rate_sum_ -= it.rate();
    it.failures = 0;
    in_quarantine_.erase(std::find(in_quarantine_.begin(), in_quarantine_.end(), i));
    changed_.push_back(i);
}

void vm_health::forget(vm_index i) {
    record& it = at(i);
    if (it.in_quarantine) {
        end_quarantine(i);
    }
    rate_sum_ -= it.rate();
    rated_vms_ -= it.completions > 0 ? 1 : 0;
    it = record{};
}

void vm_health::set_known_vms(std::size_t n) {
    known_vms_ = n;
    enforce_quarantine_limit();
}

// When VMs are removed from the cell, quarantined VMs with the lowest failure rate are released
// first.
void vm_health::enforce_quarantine_limit() {
    while (in_quarantine_.size() > max_quarantined()) {
        const auto least_failing =
            std::min_element(in_quarantine_.begin(), in_quarantine_.end(),
                             [&](vm_index a, vm_index b) { return at(a).rate() < at(b).rate(); });
        end_quarantine(*least_failing);
    }
}

std::size_t vm_health::max_quarantined() const {
    return static_cast<std::size_t>(static_cast<double>(known_vms_) *
                                    settings_.max_quarantined_fraction);
}

bool vm_health::quarantined(vm_index i) const {
    return i.value() < records_.size() && records_[i.value()].in_quarantine;
}

std::vector<vm_index> vm_health::vms_to_probe(base::time_point now) const {
    std::vector<vm_index> candidates;
    for (const vm_index it : in_quarantine_) {
        const record& vm_record = records_[it.value()];
        if (!vm_record.probing && vm_record.next_probe <= now) {
            candidates.push_back(it);
        }
    }
    return candidates;
}

void vm_health::probe_started(vm_index i) {
    at(i).probing = true;
}

std::vector<vm_index> vm_health::take_changes() {
    return std::exchange(changed_, {});
}

}  // namespace cranberrydock::policy
