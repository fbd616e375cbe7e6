// A plain model of what a cell runs, fed with the scheduler's decisions: it judges each against the
// promises, without knowing how the scheduler decides.
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
        policy::task what;
        base::vm_id vm;
        base::resources reserve;
    };

    explicit scheduler_model(const policy::scheduler_settings& settings = {})
        : sched(policy::make_scheduler(settings)) {}

    void put_vm(const policy::vm& one) {
        vms[one.id] = one;
        sched->put_vm(one);
    }

    void set_teams(const std::vector<policy::team_rules>& rules) {
        allowance.clear();
        for (const policy::team_rules& it : rules) {
            allowance[it.team] = it.allowance;
        }
        sched->set_teams(rules);
    }

    bool enqueue(const policy::task& one, base::time_point now) {
        const auto taken = sched->enqueue(one, now);
        if (taken) {
            RC_ASSERT(running.count(one.id) == 0U);
            queued[one.id] = one;
        } else {
            RC_ASSERT(taken.error().not_run);
        }
        return taken.has_value();
    }

    void cancel(const base::task_id& id) {
        RC_ASSERT(sched->cancel(id) == (queued.count(id) == 1U));
        queued.erase(id);
    }

    void end(const base::task_id& id, policy::end_kind how, base::time_point now) {
        sched->ended({id, how, size_of(1), base::seconds(1)}, now);
        to_stop.erase(id);
        running.erase(id);
    }

    // Takes over what the scheduler decides and judges it; the number of tasks placed.
    std::size_t decide(base::time_point now, std::size_t most) {
        std::size_t placed = 0;
        std::set<base::job_id> gangs;
        std::map<base::job_id, std::size_t> ran_before = running_by_job();
        for (const policy::decision& it : sched->decide(now, most)) {
            if (const auto* place = std::get_if<policy::placement>(&it)) {
                take_placement(*place, gangs);
                ++placed;
            } else if (const auto* given_up = std::get_if<policy::giving_up>(&it)) {
                RC_ASSERT(given_up->why.not_run);
                RC_ASSERT(queued.erase(given_up->task) == 1U);
            } else {
                take_preemption(std::get<policy::preemption>(it));
            }
        }
        for (const auto& [id, one] : queued) {
            RC_ASSERT(gangs.count(one.job) == 0U);  // its gang has started without it
        }
        std::map<base::job_id, std::size_t> run_now = running_by_job();
        for (const auto& [id, one] : running) {
            const bool started_now = gangs.count(one.what.job) == 1U;
            RC_ASSERT(!started_now || ran_before[one.what.job] > 0 ||
                      run_now[one.what.job] >= one.what.gang_size);
        }
        return placed;
    }

    std::map<base::job_id, std::size_t> running_by_job() const {
        std::map<base::job_id, std::size_t> result;
        for (const auto& [id, it] : running) {
            ++result[it.what.job];
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
            sum += it.what.team == team ? it.reserve.slots : base::slot_count(0);
        }
        return sum;
    }

    // The scheduler's own books agree with the model.
    void compare_books() const {
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

    std::set<base::task_id> to_stop;  // told to stop, still running

private:
    void take_preemption(const policy::preemption& one) {
        const auto it = running.find(one.task);
        RC_ASSERT(it != running.end());
        RC_ASSERT(it->second.vm == one.vm);
        RC_ASSERT(it->second.what.repeatable);
        RC_ASSERT(it->second.what.gang_size == 1U);
        RC_ASSERT(it->second.what.queue.str() == "batch");
        RC_ASSERT(to_stop.insert(one.task).second);  // never told twice
    }

    void take_placement(const policy::placement& place, std::set<base::job_id>& gangs) {
        const auto task = queued.find(place.task);
        RC_ASSERT(task != queued.end());  // neither unknown, nor running, nor ended
        const auto vm = vms.find(place.vm);
        RC_ASSERT(vm != vms.end());
        RC_ASSERT(vm->second.state == policy::vm_state::usable);
        const policy::task what = task->second;
        queued.erase(task);
        running[what.id] = {what, place.vm, place.reserve};
        RC_ASSERT(base::fits(used_on(place.vm), vm->second.capacity));
        RC_ASSERT(used_by(what.team) <= allowance[what.team]);
        if (what.gang_size > 1) {
            gangs.insert(what.job);
        }
    }
};

}  // namespace cranberrydock::test
