// A VM on which every task fails is quarantined, gets only single probes, and returns to service
// when the probes succeed. A job that fails on every VM quarantines none of them.
#include "scheduler_model.hpp"

#include <gtest/gtest.h>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using cranberrydock::test::scheduler_model;
using cranberrydock::test::size_of;

namespace {

class cell_with_failures {
public:
    explicit cell_with_failures(int vms) {
        model.sched->set_queues({{base::queue_name("batch"), policy::queue_kind::batch, 10'000}});
        model.set_teams({{base::team_id("a"), 1.0, base::slot_count(10'000), {}}});
        for (int i = 0; i < vms; ++i) {
            model.set_vm({base::vm_id("vm" + std::to_string(i)), base::rack_name("r"),
                          size_of(4, 8), policy::vm_state::usable});
        }
    }

    void enqueue(const std::string& job) {
        policy::task new_task;
        new_task.id = base::task_id("t" + std::to_string(next_++));
        new_task.job = base::job_id(job);
        new_task.team = base::team_id("a");
        new_task.queue = base::queue_name("batch");
        new_task.kind = base::kind_name("mask");
        new_task.need = size_of(1);
        new_task.accepted = now;
        model.enqueue(new_task, now);
    }

    // Runs one round of tasks, each of a job of its own. Tasks on bad VMs fail.
    void run_round(const std::set<base::vm_id>& bad) {
        const std::size_t tasks = model.vms.size() * 4;
        for (std::size_t i = 0; i < tasks; ++i) {
            enqueue("job" + std::to_string(next_));
        }
        model.decide(now, 10'000);
        end_all([&](const scheduler_model::running_task& it) { return bad.count(it.vm) == 1U; });
    }

    template <typename Fails>
    void end_all(Fails fails) {
        now += base::milliseconds(100);
        const auto running = model.running;
        for (const auto& [id, it] : running) {
            model.end(
                id,
                fails(it) ? policy::completion_kind::failed : policy::completion_kind::completed,
                now);
        }
    }

    std::set<base::vm_id> quarantined() const {
        std::set<base::vm_id> result;
        for (const policy::vm_load& it : model.sched->vm_loads()) {
            if (it.quarantined) {
                result.insert(it.vm);
            }
        }
        return result;
    }

    scheduler_model model;
    base::time_point now{};

private:
    int next_ = 0;
};

base::vm_id vm_named(int i) {
    return base::vm_id("vm" + std::to_string(i));
}

TEST(vm_health, bad_vms_are_quarantined_and_released_after_probes) {
    EXPECT_TRUE(rc::check("any number of bad VMs within the cap", [] {
        const int vms = *rc::gen::inRange(10, 30);
        const int bad_vms = *rc::gen::inRange(1, vms / 5 + 1);
        cell_with_failures cell(vms);
        std::set<base::vm_id> bad;
        for (int i = 0; i < bad_vms; ++i) {
            bad.insert(vm_named(*rc::gen::inRange(0, vms)));
        }
        for (int i = 0; i < 4; ++i) {
            cell.run_round(bad);
        }
        RC_ASSERT(cell.quarantined() == bad);
        // Quarantined VMs get no task before their next probe time.
        for (int i = 0; i < 8; ++i) {
            cell.enqueue("job-x" + std::to_string(i));
        }
        cell.model.decide(cell.now, 100);
        for (const auto& [id, it] : cell.model.running) {
            RC_ASSERT(bad.count(it.vm) == 0U);
        }
        cell.end_all([](const auto&) { return false; });
        // Once repaired, the VMs leave quarantine after a few single probes.
        for (int i = 0; i < 8 && !cell.quarantined().empty(); ++i) {
            cell.now += base::seconds(20);
            const auto before = cell.quarantined();
            cell.run_round({});
            RC_ASSERT(before.size() >= cell.quarantined().size());
        }
        RC_ASSERT(cell.quarantined().empty());
    }));
}

TEST(vm_health, quarantined_vm_gets_one_probe_at_a_time) {
    cell_with_failures cell(10);
    const std::set<base::vm_id> bad = {vm_named(3)};
    for (int i = 0; i < 4; ++i) {
        cell.run_round(bad);
    }
    ASSERT_EQ(cell.quarantined(), bad);
    cell.now += base::seconds(20);
    for (int i = 0; i < 40; ++i) {
        cell.enqueue("probe-job" + std::to_string(i));
    }
    cell.model.decide(cell.now, 100);
    EXPECT_EQ(cell.model.used_on(vm_named(3)).slots, base::slot_count(1));
}

TEST(vm_health, job_that_fails_everywhere_quarantines_no_vm) {
    EXPECT_TRUE(rc::check("any cell", [] {
        cell_with_failures cell(*rc::gen::inRange(5, 20));
        cell.run_round({});
        for (int round = 0; round < 10; ++round) {
            const int tasks = *rc::gen::inRange(1, 60);
            for (int i = 0; i < tasks; ++i) {
                cell.enqueue("bad-job");
            }
            cell.model.decide(cell.now, 1000);
            cell.end_all([](const auto&) { return true; });
            RC_ASSERT(cell.quarantined().empty());
        }
    }));
}

}  // namespace
