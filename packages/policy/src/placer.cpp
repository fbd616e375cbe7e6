// Placement: probes first, then the VM with the lowest cost. VMs that the task should avoid are
// used only if there is no other.
#include "placer.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

const std::vector<base::vm_id> no_avoided_vms;

const placement_scorer& scorer_of(const task_record& record) {
    return record.kind->queue->policy->scorer();
}

bool avoids(const task_record& record, const base::vm_id& vm) {
    return std::find(record.avoid.begin(), record.avoid.end(), vm) != record.avoid.end();
}

}  // namespace

std::vector<vm_index> placer::place(const std::vector<sized_task>& sized_tasks,
                                    const std::vector<vm_index>* candidates) {
    std::vector<vm_index> taken;
    if (sized_tasks.size() == 1) {
        if (const auto probe = place_probe(sized_tasks.front())) {
            return {*probe};
        }
    }
    for (const sized_task& it : sized_tasks) {
        const auto vm = find(it, candidates);
        if (!vm) {
            break;
        }
        vms_->add_task(*vm, it.reserve);
        taken.push_back(*vm);
    }
    if (taken.size() == sized_tasks.size()) {
        return taken;
    }
    for (std::size_t i = 0; i < taken.size(); ++i) {
        vms_->remove_task(taken[i], sized_tasks[i].reserve);
    }
    return {};
}

std::optional<vm_index> placer::find(const sized_task& request,
                                     const std::vector<vm_index>* candidates) const {
    const task_record& record = *request.task;
    const auto job = racks_.find(record.job);
    const rack_counts* same_job = job == racks_.end() ? nullptr : &job->second;
    const auto vm =
        vms_->best({request.reserve, record.avoid, scorer_of(record), same_job, candidates});
    if (vm || record.avoid.empty() || !all_avoided(request)) {
        return vm;
    }
    return vms_->best({request.reserve, no_avoided_vms, scorer_of(record), same_job, nullptr});
}

// A probe may fail, so only a task that can be run again elsewhere serves as one.
std::optional<vm_index> placer::place_probe(const sized_task& request) {
    const task_record& record = *request.task;
    if (probe_candidates_.empty() || !record.repeatable || record.gang != nullptr ||
        scorer_of(record).uses_rack_counts()) {
        return std::nullopt;
    }
    const auto it =
        std::find_if(probe_candidates_.begin(), probe_candidates_.end(), [&](vm_index i) {
            return base::fits(request.reserve, vms_->room_for_probe(i)) &&
                   !avoids(record, vms_->at(i).id);
        });
    if (it == probe_candidates_.end()) {
        return std::nullopt;
    }
    const vm_index vm = *it;
    probe_candidates_.erase(it);
    health_->probe_started(vm);
    vms_->add_task(vm, request.reserve);
    return vm;
}

// Returns true if the task should avoid every VM that is large enough for it. Another failure there
// is better than waiting forever.
bool placer::all_avoided(const sized_task& request) const {
    for (std::uint32_t n = 0; n < vms_->end(); ++n) {
        const vm_index i(n);
        if (vms_->accepts_tasks(i) && base::fits(request.reserve, vms_->at(i).capacity) &&
            !avoids(*request.task, vms_->at(i).id)) {
            return false;
        }
    }
    return true;
}

void placer::record_start(task_record& record) {
    if (scorer_of(record).uses_rack_counts()) {
        record.counted_in_rack = vms_->rack(record.placed_on);
        ++racks_[record.job].tasks[*record.counted_in_rack];
        vms_->add_long_running(record.placed_on, record.reserved);
    }
}

void placer::record_end(const task_record& record) {
    if (!record.counted_in_rack) {
        return;
    }
    vms_->remove_long_running(record.placed_on, record.reserved);
    const auto job = racks_.find(record.job);
    auto& tasks = job->second.tasks;
    const auto rack = tasks.find(*record.counted_in_rack);
    if (--rack->second == 0) {
        tasks.erase(rack);
    }
    if (tasks.empty()) {
        racks_.erase(job);
    }
}

}  // namespace cranberrydock::policy
