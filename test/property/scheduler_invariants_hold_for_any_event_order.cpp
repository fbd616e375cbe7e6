// For any order of enqueueing, deciding, completions, cancellations, configuration changes, and VMs
// that are added and removed: no VM is overcommitted, no team exceeds its allowance, gangs start
// complete, at most the permitted fraction of the cell is in quarantine, every task is accounted
// for exactly once, and every waiting task is decided once there is room.
#include "scheduler_model.hpp"

#include <gtest/gtest.h>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using cranberrydock::test::scheduler_model;
using cranberrydock::test::size_of;

namespace {

constexpr int vm_count = 12;
constexpr int team_count = 3;
constexpr std::int64_t vm_cores = 8;
constexpr double max_quarantined_fraction = 0.2;  // of the VMs

const std::vector<policy::queue_settings> queues = {
    {base::queue_name("latency"), policy::queue_kind::latency, 20},
    {base::queue_name("must_finish"), policy::queue_kind::must_finish, 20},
    {base::queue_name("batch"), policy::queue_kind::batch, 20},
    {base::queue_name("gang"), policy::queue_kind::gang, 20},
    {base::queue_name("service"), policy::queue_kind::service, 20},
};

int draw_below(int limit) {
    return *rc::gen::inRange(0, limit);
}

base::team_id any_team() {
    return base::team_id("team" + std::to_string(draw_below(team_count)));
}
base::vm_id any_vm() {
    return base::vm_id("vm" + std::to_string(draw_below(vm_count)));
}

template <typename Map>
typename Map::key_type any_key(const Map& map) {
    return std::next(map.begin(), draw_below(static_cast<int>(map.size())))->first;
}

class random_events {
public:
    random_events() {
        model_.sched->set_queues(queues);
        set_teams();
    }

    void step() {
        switch (draw_below(11)) {
            case 0:
            case 1:
            case 2:
                enqueue();
                break;
            case 3:
            case 4:
                decide();
                break;
            case 5:
            case 6:
                end_random_task();
                break;
            case 7:
                cancel_random_task();
                break;
            case 8:
                set_vm();
                break;
            case 9:
                remove_vm_or_set_teams();
                break;
            default:
                adopt_or_report();
                break;
        }
        model_.compare_loads();
        const auto max_quarantined =
            static_cast<double>(model_.vms.size()) * max_quarantined_fraction;
        RC_ASSERT(static_cast<double>(model_.quarantined()) <= max_quarantined);
    }

    // With enough room and allowance, and with tasks that end, no task waits forever.
    void drain() {
        for (int i = 0; i < vm_count; ++i) {
            model_.set_vm({base::vm_id("vm" + std::to_string(i)), base::rack_name("r"),
                           size_of(vm_cores, 16), policy::vm_state::usable});
        }
        set_teams(1000);
        cancel_incomplete_gangs();
        for (int round = 0; round < 2000 && !model_.queued.empty(); ++round) {
            now_ += base::milliseconds(100);
            decide();
            while (!model_.running.empty()) {
                model_.end(model_.running.begin()->first, policy::completion_kind::completed, now_);
            }
        }
        RC_ASSERT(model_.queued.empty());
        model_.compare_loads();
    }

private:
    void set_teams(int min_allowance = 0) {
        std::vector<policy::team_settings> rules;
        rules.reserve(team_count);
        for (int i = 0; i < team_count; ++i) {
            rules.push_back({base::team_id("team" + std::to_string(i)), 1.0 + draw_below(3),
                             base::slot_count(min_allowance + draw_below(30)),
                             base::slot_count(draw_below(20))});
        }
        model_.set_teams(rules);
    }

    policy::task any_task() {
        policy::task result;
        result.id = base::task_id("t" + std::to_string(next_++));
        result.job = base::job_id("j" + result.id.str());
        result.team = any_team();
        result.queue = queues[static_cast<std::size_t>(draw_below(3))].name;
        if (draw_below(8) == 0) {
            result.queue = base::queue_name("service");
        }
        result.kind = base::kind_name("kind" + std::to_string(draw_below(2)));
        result.need = size_of(1 + draw_below(static_cast<int>(vm_cores)), 1 + draw_below(3));
        result.accepted = now_;
        result.repeatable = draw_below(2) == 0;
        if (draw_below(4) == 0) {
            result.deadline = now_ + base::milliseconds(draw_below(5000));
        }
        if (draw_below(4) == 0) {
            result.avoid = {any_vm()};
        }
        return result;
    }

    void enqueue() {
        policy::task new_task = any_task();
        if (draw_below(4) != 0) {
            model_.enqueue(new_task, now_);
            return;
        }
        new_task.queue = base::queue_name("gang");
        new_task.gang_size = 2 + static_cast<std::size_t>(draw_below(3));
        for (std::size_t i = 0; i < new_task.gang_size; ++i) {
            new_task.id = base::task_id("t" + std::to_string(next_++));
            if (draw_below(10) != 0) {
                model_.enqueue(new_task, now_);
            }
        }
    }

    void decide() {
        now_ += base::milliseconds(draw_below(300));
        model_.decide(now_, 1 + static_cast<std::size_t>(draw_below(20)));
    }

    void end_random_task() {
        if (model_.running.empty()) {
            return;
        }
        const policy::completion_kind outcomes[] = {
            policy::completion_kind::completed, policy::completion_kind::failed,
            policy::completion_kind::stopped, policy::completion_kind::lost};
        model_.end(any_key(model_.running), outcomes[draw_below(4)], now_);
    }

    void cancel_random_task() {
        if (!model_.queued.empty() && draw_below(3) != 0) {
            model_.cancel(any_key(model_.queued));
        } else {
            model_.cancel(base::task_id("t" + std::to_string(draw_below(next_ + 1))));
        }
    }

    void set_vm() {
        const policy::vm_state states[] = {policy::vm_state::usable, policy::vm_state::usable,
                                           policy::vm_state::draining,
                                           policy::vm_state::unreported};
        model_.set_vm({any_vm(), base::rack_name("r" + std::to_string(draw_below(3))),
                       size_of(draw_below(10) == 0 ? vm_cores / 2 : vm_cores, 8),
                       states[draw_below(4)]});
    }

    void remove_vm_or_set_teams() {
        if (draw_below(2) == 0 || model_.vms.empty()) {
            set_teams();
            return;
        }
        const base::vm_id removed = any_key(model_.vms);
        std::vector<base::task_id> tasks_on_vm;
        for (const auto& [id, it] : model_.running) {
            if (it.vm == removed) {
                tasks_on_vm.push_back(id);
            }
        }
        for (const base::task_id& id : tasks_on_vm) {
            model_.end(id, policy::completion_kind::lost, now_);
        }
        model_.vms.erase(removed);
        model_.sched->remove_vm(removed);
    }

    // Adopts a task that already runs, as after a takeover, whether or not it is queued here.
    void adopt_or_report() {
        if (draw_below(2) == 0 && !model_.running.empty()) {
            const auto& reported = model_.running.at(any_key(model_.running));
            model_.sched->report_usage(reported.spec.id, reported.reserve);
            return;
        }
        policy::task adopted = any_task();
        adopted.need = size_of(1);
        if (draw_below(2) == 0 && !model_.queued.empty()) {
            adopted = model_.queued.at(any_key(model_.queued));
        }
        const base::vm_id vm = any_vm();
        model_.queued.erase(adopted.id);
        model_.running[adopted.id] = {adopted, vm, adopted.need};
        model_.sched->adopt(adopted, vm, adopted.need);
    }

    // Cancels gangs of which a task was refused or cancelled; in a cell this is the owner's duty.
    void cancel_incomplete_gangs() {
        std::map<base::job_id, std::size_t> arrived;
        for (const auto& [id, it] : model_.queued) {
            ++arrived[it.job];
        }
        const auto queued = model_.queued;
        for (const auto& [id, it] : queued) {
            if (arrived[it.job] < it.gang_size) {
                model_.cancel(id);
            }
        }
    }

    scheduler_model model_;
    base::time_point now_{};
    int next_ = 0;
};

TEST(scheduler, invariants_hold_for_any_event_order) {
    EXPECT_TRUE(rc::check("any interleaving", [] {
        random_events events;
        const int steps = *rc::gen::inRange(10, 250);
        for (int i = 0; i < steps; ++i) {
            events.step();
        }
        events.drain();
    }));
}

}  // namespace
