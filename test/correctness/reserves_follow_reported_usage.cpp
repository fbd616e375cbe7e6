// The usage of completed tasks corrects declared sizes that are too small or too large, by up to a
// factor of five. A VM whose tasks use more than was reserved gets no more tasks.
#include <cranberrydock/policy/scheduler.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;

namespace {

base::resources size(std::int64_t cores) {
    return {base::millicores(cores * 1000), base::mebibytes(cores * 2048), {}, base::slot_count(1)};
}

class learning_cell : public ::testing::Test {
protected:
    learning_cell() {
        sched_->set_queues({{base::queue_name("batch"), policy::queue_kind::batch, 1000}});
        sched_->set_teams({{base::team_id("a"), 1.0, base::slot_count(1000), {}}});
        base::resources capacity = size(32);
        capacity.slots = base::slot_count(16);
        sched_->set_vm(
            {base::vm_id("vm"), base::rack_name("r"), capacity, policy::vm_state::usable});
    }

    policy::placement start(std::int64_t declared) {
        policy::task new_task;
        new_task.id = base::task_id("t" + std::to_string(next_++));
        new_task.job = base::job_id(new_task.id.str());
        new_task.team = base::team_id("a");
        new_task.queue = base::queue_name("batch");
        new_task.kind = base::kind_name("mask");
        new_task.need = size(declared);
        EXPECT_TRUE(sched_->enqueue(new_task, {}));
        const auto decided = sched_->decide({}, 10);
        return decided.empty() ? policy::placement{} : std::get<policy::placement>(decided[0]);
    }

    void run(int times, std::int64_t declared, std::int64_t used) {
        for (int i = 0; i < times; ++i) {
            const policy::placement place = start(declared);
            sched_->record_completion(
                {place.task, policy::completion_kind::completed, size(used), base::seconds(1)}, {});
        }
    }

    std::unique_ptr<policy::scheduler> sched_ = policy::make_scheduler();
    int next_ = 0;
};

TEST_F(learning_cell, reserves_more_than_declared_when_tasks_use_more) {
    run(60, 2, 6);
    const base::resources reserve = start(2).reserve;
    EXPECT_GE(reserve.memory, size(6).memory);
    EXPECT_LE(reserve.memory, size(10).memory);
}

TEST_F(learning_cell, reserves_less_than_declared_when_tasks_use_less) {
    run(60, 10, 2);
    const base::resources reserve = start(10).reserve;
    EXPECT_GE(reserve.memory, size(2).memory);
    EXPECT_LT(reserve.memory, size(4).memory);
}

TEST_F(learning_cell, reserves_as_declared_with_few_samples) {
    run(3, 10, 2);
    EXPECT_EQ(start(10).reserve, size(10));
}

TEST_F(learning_cell, usage_above_reserve_counts_against_vm) {
    const policy::placement big = start(20);
    sched_->report_usage(big.task, size(30));
    EXPECT_TRUE(start(4).task.empty()) << "12 cores were not reserved, but 10 of them are in use";
    sched_->report_usage(big.task, size(20));
    EXPECT_FALSE(sched_->decide({}, 10).empty());
}

}  // namespace
