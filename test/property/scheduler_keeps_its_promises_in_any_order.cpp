// Whatever the order of enqueueing, deciding, ending, cancelling, configuring, and VMs coming and
// going: no VM is overcommitted, no team runs above its allowance, gangs start whole, the
// quarantine stays within its part of the cell, every task is accounted for exactly once, and once
// there is room everything that waits is decided.
#include "scheduler_model.hpp"

#include <gtest/gtest.h>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using cranberrydock::test::scheduler_model;
using cranberrydock::test::size_of;

namespace {

constexpr int vm_names = 12;
constexpr int team_names = 3;
constexpr std::int64_t vm_cores = 8;
constexpr double most_quarantined = 0.2;

const std::vector<policy::queue_rules> queues = {
    {base::queue_name("latency"), policy::queue_kind::latency, 20},
    {base::queue_name("must_finish"), policy::queue_kind::must_finish, 20},
    {base::queue_name("batch"), policy::queue_kind::batch, 20},
    {base::queue_name("gang"), policy::queue_kind::gang, 20},
    {base::queue_name("service"), policy::queue_kind::service, 20},
};

int any(int below) {
    return *rc::gen::inRange(0, below);
}

base::team_id any_team() {
    return base::team_id("team" + std::to_string(any(team_names)));
}
base::vm_id any_vm() {
    return base::vm_id("vm" + std::to_string(any(vm_names)));
}

template <typename Map>
typename Map::key_type any_key(const Map& map) {
    return std::next(map.begin(), any(static_cast<int>(map.size())))->first;
}

class interleaving {
public:
    interleaving() {
        model_.sched->set_queues(queues);
        set_teams();
    }

    void step() {
        switch (any(11)) {
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
                end_one();
                break;
            case 7:
                cancel_one();
                break;
            case 8:
                put_vm();
                break;
            case 9:
                remove_vm_or_set_teams();
                break;
            default:
                adopt_or_report();
                break;
        }
        model_.compare_books();
        const auto most = static_cast<double>(model_.vms.size()) * most_quarantined;
        RC_ASSERT(static_cast<double>(model_.quarantined()) <= most);
    }

    // With room and allowance for all, and tasks that end, nothing waits for ever.
    void drain() {
        for (int i = 0; i < vm_names; ++i) {
            model_.put_vm({base::vm_id("vm" + std::to_string(i)), base::rack_name("r"),
                           size_of(vm_cores, 16), policy::vm_state::usable});
        }
        set_teams(1000);
        drop_incomplete_gangs();
        for (int round = 0; round < 2000 && !model_.queued.empty(); ++round) {
            now_ += base::milliseconds(100);
            decide();
            while (!model_.running.empty()) {
                model_.end(model_.running.begin()->first, policy::end_kind::completed, now_);
            }
        }
        RC_ASSERT(model_.queued.empty());
        model_.compare_books();
    }

private:
    void set_teams(int least_allowance = 0) {
        std::vector<policy::team_rules> rules;
        rules.reserve(team_names);
        for (int i = 0; i < team_names; ++i) {
            rules.push_back({base::team_id("team" + std::to_string(i)), 1.0 + any(3),
                             base::slot_count(least_allowance + any(30)),
                             base::slot_count(any(20))});
        }
        model_.set_teams(rules);
    }

    policy::task any_task() {
        policy::task one;
        one.id = base::task_id("t" + std::to_string(next_++));
        one.job = base::job_id("j" + one.id.str());
        one.team = any_team();
        one.queue = queues[static_cast<std::size_t>(any(3))].name;
        if (any(8) == 0) {
            one.queue = base::queue_name("service");
        }
        one.kind = base::kind_name("kind" + std::to_string(any(2)));
        one.need = size_of(1 + any(static_cast<int>(vm_cores)), 1 + any(3));
        one.accepted = now_;
        one.repeatable = any(2) == 0;
        if (any(4) == 0) {
            one.deadline = now_ + base::milliseconds(any(5000));
        }
        if (any(4) == 0) {
            one.avoid = {any_vm()};
        }
        return one;
    }

    void enqueue() {
        policy::task one = any_task();
        if (any(4) != 0) {
            model_.enqueue(one, now_);
            return;
        }
        one.queue = base::queue_name("gang");
        one.gang_size = 2 + static_cast<std::size_t>(any(3));
        for (std::size_t i = 0; i < one.gang_size; ++i) {
            one.id = base::task_id("t" + std::to_string(next_++));
            if (any(10) != 0) {
                model_.enqueue(one, now_);
            }
        }
    }

    void decide() {
        now_ += base::milliseconds(any(300));
        model_.decide(now_, 1 + static_cast<std::size_t>(any(20)));
    }

    void end_one() {
        if (model_.running.empty()) {
            return;
        }
        const policy::end_kind how[] = {policy::end_kind::completed, policy::end_kind::failed,
                                        policy::end_kind::stopped, policy::end_kind::lost};
        model_.end(any_key(model_.running), how[any(4)], now_);
    }

    void cancel_one() {
        if (!model_.queued.empty() && any(3) != 0) {
            model_.cancel(any_key(model_.queued));
        } else {
            model_.cancel(base::task_id("t" + std::to_string(any(next_ + 1))));
        }
    }

    void put_vm() {
        const policy::vm_state states[] = {policy::vm_state::usable, policy::vm_state::usable,
                                           policy::vm_state::draining, policy::vm_state::unheard};
        model_.put_vm({any_vm(), base::rack_name("r" + std::to_string(any(3))),
                       size_of(any(10) == 0 ? vm_cores / 2 : vm_cores, 8), states[any(4)]});
    }

    void remove_vm_or_set_teams() {
        if (any(2) == 0 || model_.vms.empty()) {
            set_teams();
            return;
        }
        const base::vm_id gone = any_key(model_.vms);
        std::vector<base::task_id> there;
        for (const auto& [id, it] : model_.running) {
            if (it.vm == gone) {
                there.push_back(id);
            }
        }
        for (const base::task_id& id : there) {
            model_.end(id, policy::end_kind::lost, now_);
        }
        model_.vms.erase(gone);
        model_.sched->remove_vm(gone);
    }

    // After a takeover: a task turns out to run already, queued here or not.
    void adopt_or_report() {
        if (any(2) == 0 && !model_.running.empty()) {
            const auto& one = model_.running.at(any_key(model_.running));
            model_.sched->report_usage(one.what.id, one.reserve);
            return;
        }
        policy::task one = any_task();
        one.need = size_of(1);
        if (any(2) == 0 && !model_.queued.empty()) {
            one = model_.queued.at(any_key(model_.queued));
        }
        const base::vm_id vm = any_vm();
        model_.queued.erase(one.id);
        model_.running[one.id] = {one, vm, one.need};
        model_.sched->adopt(one, vm, one.need);
    }

    // A gang of which a task was refused or cancelled has to be cancelled by its owner.
    void drop_incomplete_gangs() {
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

TEST(scheduler, keeps_its_promises_in_any_order) {
    EXPECT_TRUE(rc::check("any interleaving", [] {
        interleaving one;
        const int steps = *rc::gen::inRange(10, 250);
        for (int i = 0; i < steps; ++i) {
            one.step();
        }
        one.drain();
    }));
}

}  // namespace
