// Searches all running tasks. It is called only while urgent tasks starve, and at most once per
// check interval.
#include "preemptor.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cranberrydock::policy {

namespace {

constexpr double above_share_factor = 1.5;  // multiple of the share that a team is entitled to

// The fraction of the cell that the kind's tasks use, regardless of the weight.
double unweighted_share(const kind_record& kind) {
    return kind.share * kind.queue->policy->weight();
}

}  // namespace

std::vector<task_record*> preemptor::select_victims(const kind_record& urgent,
                                                    const base::resources& need,
                                                    std::size_t max_tasks,
                                                    base::time_point now) const {
    std::map<std::uint32_t, std::vector<task_record*>> by_vm;
    tasks_->for_each([&](task_record& record) {
        if (record.running && vms_->accepts_tasks(record.placed_on) &&
            may_preempt(record, urgent)) {
            by_vm[record.placed_on.value()].push_back(&record);
        }
    });
    std::vector<victim_set> victim_sets;
    for (auto& [vm, candidates] : by_vm) {
        victim_set vm_victims = victims_on_vm(std::move(candidates), need, now);
        if (!vm_victims.victims.empty()) {
            victim_sets.push_back(std::move(vm_victims));
        }
    }
    std::sort(victim_sets.begin(), victim_sets.end(), [](const victim_set& a, const victim_set& b) {
        return a.lost_run_time < b.lost_run_time;
    });
    std::vector<task_record*> result;
    for (std::size_t i = 0; i < std::min(max_tasks, victim_sets.size()); ++i) {
        result.insert(result.end(), victim_sets[i].victims.begin(), victim_sets[i].victims.end());
    }
    return result;
}

// Other teams lose tasks only if they are well above their share. Otherwise the batch tasks of a
// team close to its share would be stopped and restarted repeatedly. Within its own team, urgent
// work is given at most as much by preemption as batch keeps; beyond that it waits for tasks to
// end.
bool preemptor::may_preempt(const task_record& record, const kind_record& urgent) const {
    const kind_record& kind = *record.kind;
    if (!record.repeatable || record.stopping || record.gang != nullptr ||
        !kind.queue->policy->preemptible()) {
        return false;
    }
    return kind.team == urgent.team ? unweighted_share(kind) > unweighted_share(urgent)
                                    : team_table_->above_share(*kind.team, above_share_factor);
}

preemptor::victim_set preemptor::victims_on_vm(std::vector<task_record*> candidates,
                                               const base::resources& need,
                                               base::time_point now) const {
    std::sort(candidates.begin(), candidates.end(),
              [](const task_record* a, const task_record* b) { return a->started > b->started; });
    base::resources room = vms_->room(candidates.front()->placed_on);
    victim_set result;
    for (task_record* it : candidates) {
        if (base::fits(need, room)) {
            break;
        }
        room += it->reserved;
        result.lost_run_time += now - it->started;
        result.victims.push_back(it);
    }
    return base::fits(need, room) ? result : victim_set{};
}

}  // namespace cranberrydock::policy
