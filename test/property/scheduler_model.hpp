// A plain model of what a cell runs. It applies the decisions of a scheduler and checks each of
// them against the guarantees, independently of how the scheduler makes them.
#pragma once

#include <cranberrydock/policy/scheduler.hpp>

#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::test {

inline base::resources size_of(std::int64_t cores, std::int64_t slots = 1) {
    return {base::millicores(cores * 1000), base::mebibytes(cores * 2048),
            base::accelerator_count(0), base::slot_count(slots)};
}

class scheduler_model {
public:
    struct running_task {
        policy::task spec;
        base::vm_id vm;
        base::resources reserve;
    };

    explicit scheduler_model(const policy::scheduler_settings& settings = {})
        : sched(policy::make_scheduler(settings)) {}

    void set_vm(const policy::vm& added) {
        vms[added.id] = added;
        sched->set_vm(added);
    }

    void set_teams(const std::vector<policy::team_settings>& rules) {
        allowance.clear();
        for (const policy::team_settings& it : rules) {
            allowance[it.team] = it.allowance;
        }
        sched->set_teams(rules);
    }

    bool enqueue(const policy::task& new_task, base::time_point now) {
        const auto accepted = sched->enqueue(new_task, now);
        if (accepted) {
            RC_ASSERT(running.count(new_task.id) == 0U);
            queued[new_task.id] = new_task;
        } else {
            RC_ASSERT(accepted.error().not_run);
        }
        return accepted.has_value();
    }

    void cancel(const base::task_id& id) {
        RC_ASSERT(sched->cancel(id) == (queued.count(id) == 1U));
        queued.erase(id);
    }

    void end(const base::task_id& id, policy::completion_kind outcome, base::time_point now) {
        sched->record_completion({id, outcome, size_of(1), base::seconds(1)}, now);
        to_stop.erase(id);
        running.erase(id);
    }

    // Applies and checks the scheduler's decisions. Returns the number of tasks placed.
    std::size_t decide(base::time_point now, std::size_t max_decisions) {
        std::size_t placed = 0;
        std::set<base::job_id> started_gangs;
        std::map<base::job_id, std::size_t> running_before = running_by_job();
        for (const policy::decision& it : sched->decide(now, max_decisions)) {
            if (const auto* place = std::get_if<policy::placement>(&it)) {
                apply_placement(*place, started_gangs);
                ++placed;
            } else if (const auto* abandoned = std::get_if<policy::abandonment>(&it)) {
                RC_ASSERT(abandoned->refusal.not_run);
                RC_ASSERT(queued.erase(abandoned->task) == 1U);
            } else {
                apply_preemption(std::get<policy::preemption>(it));
            }
        }
        for (const auto& [id, entry] : queued) {
            // No task stays queued when its gang starts.
            RC_ASSERT(started_gangs.count(entry.job) == 0U);
        }
        std::map<base::job_id, std::size_t> running_after = running_by_job();
        for (const auto& [id, entry] : running) {
            const bool started_now = started_gangs.count(entry.spec.job) == 1U;
            RC_ASSERT(!started_now || running_before[entry.spec.job] > 0 ||
                      running_after[entry.spec.job] >= entry.spec.gang_size);
        }
        return placed;
    }

    std::map<base::job_id, std::size_t> running_by_job() const {
        std::map<base::job_id, std::size_t> result;
        for (const auto& [id, it] : running) {
            ++result[it.spec.job];
        }
        return result;
    }

    base::resources used_on(const base::vm_id& vm) const {
        base::resources sum;
        for (const auto& [id, it] : running) {
            sum += it.vm == vm ? it.reserve : base::resources{};
        }
        return sum;
    }

    base::slot_count used_by(const base::team_id& team) const {
        base::slot_count sum;
        for (const auto& [id, it] : running) {
            sum += it.spec.team == team ? it.reserve.slots : base::slot_count(0);
        }
        return sum;
    }

    // Checks that the loads reported by the scheduler agree with the model.
    void compare_loads() const {
        std::size_t tasks_running = 0;
        std::size_t tasks_queued = 0;
        for (const policy::team_load& it : sched->loads()) {
            tasks_running += it.tasks_running;
            tasks_queued += it.tasks_queued;
            RC_ASSERT(it.running == used_by(it.team));
        }
        RC_ASSERT(tasks_running == running.size());
        RC_ASSERT(tasks_queued == queued.size());
        for (const policy::vm_load& it : sched->vm_loads()) {
            RC_ASSERT(it.reserved == used_on(it.vm));
        }
    }

    std::size_t quarantined() const {
        std::size_t n = 0;
        for (const policy::vm_load& it : sched->vm_loads()) {
            n += it.quarantined ? 1 : 0;
        }
        return n;
    }

    std::unique_ptr<policy::scheduler> sched;
    std::map<base::vm_id, policy::vm> vms;
    std::map<base::team_id, base::slot_count> allowance;
    std::map<base::task_id, policy::task> queued;
    std::map<base::task_id, running_task> running;

    std::set<base::task_id> to_stop;  // commanded to stop, still running

private:
    void apply_preemption(const policy::preemption& preempted) {
        const auto it = running.find(preempted.task);
        RC_ASSERT(it != running.end());
        RC_ASSERT(it->second.vm == preempted.vm);
        RC_ASSERT(it->second.spec.repeatable);
        RC_ASSERT(it->second.spec.gang_size == 1U);
        RC_ASSERT(it->second.spec.queue.str() == "batch");
        RC_ASSERT(to_stop.insert(preempted.task).second);  // never commanded twice
    }

    void apply_placement(const policy::placement& place, std::set<base::job_id>& started_gangs) {
        const auto task = queued.find(place.task);
        RC_ASSERT(task != queued.end());  // queued: neither unknown, nor running, nor ended
        const auto vm = vms.find(place.vm);
        RC_ASSERT(vm != vms.end());
        RC_ASSERT(vm->second.state == policy::vm_state::usable);
        const policy::task placed_task = task->second;
        queued.erase(task);
        running[placed_task.id] = {placed_task, place.vm, place.reserve};
        RC_ASSERT(base::fits(used_on(place.vm), vm->second.capacity));
        RC_ASSERT(used_by(placed_task.team) <= allowance[placed_task.team]);
        if (placed_task.gang_size > 1) {
            started_gangs.insert(placed_task.job);
        }
    }
};

}  // namespace cranberrydock::test
