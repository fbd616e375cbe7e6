// The contract of the scheduler in small cases: allowance and capacity are respected, gangs start
// completely or not at all, and work that cannot run is refused or dropped with the correct reason.
#include <cranberrydock/policy/scheduler.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using base::refusal_reason;

namespace {

constexpr base::time_point start{};

base::resources size(int cores, int slots = 1) {
    return {base::millicores(cores * 1000), base::mebibytes(cores * 1024),
            base::accelerator_count(0), base::slot_count(slots)};
}

policy::task task_of(const std::string& id, const std::string& team, int cores) {
    policy::task new_task;
    new_task.id = base::task_id(id);
    new_task.job = base::job_id("job-" + id);
    new_task.team = base::team_id(team);
    new_task.queue = base::queue_name("batch");
    new_task.kind = base::kind_name("mask");
    new_task.need = size(cores);
    return new_task;
}

class scheduler_contract : public ::testing::Test {
protected:
    scheduler_contract() {
        sched_->set_queues({{base::queue_name("batch"), policy::queue_kind::batch, 3},
                            {base::queue_name("gang"), policy::queue_kind::gang, 8}});
        sched_->set_teams({{base::team_id("a"), 1.0, base::slot_count(4), base::slot_count(0)},
                           {base::team_id("b"), 1.0, base::slot_count(4), base::slot_count(0)}});
    }

    void add_vm(const std::string& id, int cores) {
        sched_->set_vm(
            {base::vm_id(id), base::rack_name("r1"), size(cores, 8), policy::vm_state::usable});
    }

    std::vector<policy::placement> placed(base::time_point now = start) {
        std::vector<policy::placement> result;
        for (const policy::decision& it : sched_->decide(now, 100)) {
            if (const auto* place = std::get_if<policy::placement>(&it)) {
                result.push_back(*place);
            }
        }
        return result;
    }

    std::unique_ptr<policy::scheduler> sched_ = policy::make_scheduler();
};

TEST_F(scheduler_contract, respects_allowance) {
    add_vm("v1", 8);
    for (const char* id : {"t1", "t2", "t3"}) {
        policy::task new_task = task_of(id, "a", 1);
        new_task.need.slots = base::slot_count(2);
        ASSERT_TRUE(sched_->enqueue(new_task, start));
    }
    EXPECT_EQ(placed().size(), 2U);  // the allowance is four slots
}

TEST_F(scheduler_contract, respects_capacity) {
    add_vm("v1", 4);
    add_vm("v2", 4);
    for (const char* id : {"t1", "t2", "t3"}) {
        ASSERT_TRUE(sched_->enqueue(task_of(id, "a", 3), start));
    }
    EXPECT_EQ(placed().size(), 2U);  // one per VM
    sched_->record_completion({base::task_id("t1"), policy::completion_kind::completed, {}, {}},
                              start);
    EXPECT_EQ(placed().size(), 1U);
}

TEST_F(scheduler_contract, refuses_oversized_task_unless_cell_is_empty) {
    EXPECT_TRUE(sched_->enqueue(task_of("t1", "a", 64), start));
    add_vm("v1", 4);
    const auto refused = sched_->enqueue(task_of("t2", "a", 64), start);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, refusal_reason::can_never_fit);
    EXPECT_TRUE(refused.error().not_run);
}

TEST_F(scheduler_contract, full_queue_refuses_with_retry_time) {
    for (const char* id : {"t1", "t2", "t3"}) {
        ASSERT_TRUE(sched_->enqueue(task_of(id, "a", 1), start));
    }
    const auto refused = sched_->enqueue(task_of("t4", "a", 1), start);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, refusal_reason::queue_full);
    EXPECT_GT(refused.error().retry_after.count(), 0);
    EXPECT_TRUE(sched_->enqueue(task_of("t5", "b", 1), start)) << "another team is not affected";
}

TEST_F(scheduler_contract, starts_complete_gangs_only) {
    add_vm("v1", 4);
    std::vector<policy::task> gang;
    for (const char* id : {"g1", "g2"}) {
        gang.push_back(task_of(id, "a", 4));
        gang.back().job = base::job_id("gang");
        gang.back().queue = base::queue_name("gang");
        gang.back().gang_size = 2;
    }
    add_vm("v2", 4);
    ASSERT_TRUE(sched_->enqueue(gang[0], start));
    EXPECT_TRUE(placed().empty()) << "the second task of the gang is not queued yet";
    ASSERT_TRUE(sched_->enqueue(gang[1], start));
    EXPECT_EQ(placed().size(), 2U);
}

TEST_F(scheduler_contract, drops_task_after_its_deadline) {
    policy::task late = task_of("t1", "a", 1);
    late.deadline = start + base::seconds(1);
    ASSERT_TRUE(sched_->enqueue(late, start));
    const auto decided = sched_->decide(start + base::seconds(2), 10);
    ASSERT_EQ(decided.size(), 1U);
    const auto* dropped = std::get_if<policy::abandonment>(&decided[0]);
    ASSERT_NE(dropped, nullptr);
    EXPECT_EQ(dropped->refusal.reason, refusal_reason::deadline_passed);
    EXPECT_TRUE(dropped->refusal.not_run);
}

TEST_F(scheduler_contract, cancels_only_queued_tasks) {
    add_vm("v1", 4);
    ASSERT_TRUE(sched_->enqueue(task_of("t1", "a", 1), start));
    EXPECT_TRUE(sched_->cancel(base::task_id("t1")));
    EXPECT_FALSE(sched_->cancel(base::task_id("t1")));
    EXPECT_TRUE(placed().empty());
}

TEST_F(scheduler_contract, counts_adopted_tasks) {
    add_vm("v1", 4);
    sched_->adopt(task_of("old", "a", 3), base::vm_id("v1"), size(3));
    ASSERT_TRUE(sched_->enqueue(task_of("t1", "a", 2), start));
    EXPECT_TRUE(placed().empty());
    sched_->record_completion({base::task_id("old"), policy::completion_kind::completed, {}, {}},
                              start);
    EXPECT_EQ(placed().size(), 1U);
}

TEST_F(scheduler_contract, skips_draining_and_unreported_vms) {
    add_vm("v1", 4);
    for (const policy::vm_state state :
         {policy::vm_state::draining, policy::vm_state::unreported}) {
        sched_->set_vm({base::vm_id("v1"), base::rack_name("r1"), size(4, 8), state});
        ASSERT_TRUE(sched_->enqueue(task_of("t1", "a", 1), start));
        EXPECT_TRUE(placed().empty());
    }
}

}  // namespace
