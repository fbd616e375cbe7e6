// Placement: probes first, then the best VM, and the same VM again only when there is no other.
#include "placer.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

const std::vector<base::vm_id> avoid_none;

const placement_scorer& scorer_of(const task_record& one) {
    return one.kind->queue->policy->scorer();
}

bool avoids(const task_record& one, const base::vm_id& vm) {
    return std::find(one.avoid.begin(), one.avoid.end(), vm) != one.avoid.end();
}

}  // namespace

std::vector<vm_index> placer::take(const std::vector<placement_wish>& wishes,
                                   const std::vector<vm_index>* candidates) {
    std::vector<vm_index> taken;
    if (wishes.size() == 1) {
        if (const auto probe = take_probe(wishes.front())) {
            return {*probe};
        }
    }
    for (const placement_wish& it : wishes) {
        const auto vm = find(it, candidates);
        if (!vm) {
            break;
        }
        vms_->take(*vm, it.reserve);
        taken.push_back(*vm);
    }
    if (taken.size() == wishes.size()) {
        return taken;
    }
    for (std::size_t i = 0; i < taken.size(); ++i) {
        vms_->give(taken[i], wishes[i].reserve);
    }
    return {};
}

std::optional<vm_index> placer::find(const placement_wish& wish,
                                     const std::vector<vm_index>* candidates) const {
    const task_record& one = *wish.task;
    const auto job = racks_.find(one.job);
    const rack_counts* same_job = job == racks_.end() ? nullptr : &job->second;
    const auto vm = vms_->best({wish.reserve, one.avoid, scorer_of(one), same_job, candidates});
    if (vm || one.avoid.empty() || !all_avoided(wish)) {
        return vm;
    }
    return vms_->best({wish.reserve, avoid_none, scorer_of(one), same_job, nullptr});
}

// A probe is a task that can be run again elsewhere when it fails.
std::optional<vm_index> placer::take_probe(const placement_wish& wish) {
    const task_record& one = *wish.task;
    if (probes_.empty() || !one.repeatable || one.gang != nullptr || scorer_of(one).wants_racks()) {
        return std::nullopt;
    }
    const auto it = std::find_if(probes_.begin(), probes_.end(), [&](vm_index i) {
        return base::fits(wish.reserve, vms_->room_for_probe(i)) && !avoids(one, vms_->at(i).id);
    });
    if (it == probes_.end()) {
        return std::nullopt;
    }
    const vm_index vm = *it;
    probes_.erase(it);
    health_->probe_started(vm);
    vms_->take(vm, wish.reserve);
    return vm;
}

// Whether every VM that could ever take the task is one that it should avoid: then failing there
// again is better than waiting for ever.
bool placer::all_avoided(const placement_wish& wish) const {
    for (std::uint32_t n = 0; n < vms_->end(); ++n) {
        const vm_index i(n);
        if (vms_->open(i) && base::fits(wish.reserve, vms_->at(i).capacity) &&
            !avoids(*wish.task, vms_->at(i).id)) {
            return false;
        }
    }
    return true;
}

void placer::note_running(task_record& one) {
    if (scorer_of(one).wants_racks()) {
        one.counted_in_rack = vms_->rack(one.where);
        ++racks_[one.job].tasks[*one.counted_in_rack];
        vms_->add_lasting(one.where, one.reserved);
    }
}

void placer::note_ended(const task_record& one) {
    if (!one.counted_in_rack) {
        return;
    }
    vms_->drop_lasting(one.where, one.reserved);
    const auto job = racks_.find(one.job);
    auto& tasks = job->second.tasks;
    const auto rack = tasks.find(*one.counted_in_rack);
    if (--rack->second == 0) {
        tasks.erase(rack);
    }
    if (tasks.empty()) {
        racks_.erase(job);
    }
}

}  // namespace cranberrydock::policy
