// Once the drain rate is known, an urgent task that would miss its deadline is refused on arrival.
// The refusal of a full queue names a retry time that follows the drain rate.
#include <cranberrydock/policy/scheduler.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using base::refusal_reason;

namespace {

constexpr std::size_t max_queued = 40;

class overloaded_cell : public ::testing::Test {
protected:
    overloaded_cell() {
        const base::resources room{
            base::millicores(1000), base::mebibytes(1024), {}, base::slot_count(1)};
        sched_->set_queues({{base::queue_name("latency"), policy::queue_kind::latency, max_queued},
                            {base::queue_name("batch"), policy::queue_kind::batch, max_queued}});
        sched_->set_teams({{base::team_id("a"), 1.0, base::slot_count(100), {}}});
        sched_->set_vm({base::vm_id("vm"), base::rack_name("r"), room, policy::vm_state::usable});
    }

    tl::expected<void, base::refusal> enqueue(const char* queue, base::duration deadline) {
        policy::task new_task;
        new_task.id = base::task_id("t" + std::to_string(next_++));
        new_task.job = base::job_id(new_task.id.str());
        new_task.team = base::team_id("a");
        new_task.queue = base::queue_name(queue);
        new_task.kind = base::kind_name("plan");
        new_task.need = {base::millicores(1000), base::mebibytes(512), {}, base::slot_count(1)};
        new_task.accepted = now_;
        if (deadline > base::duration::zero()) {
            new_task.deadline = now_ + deadline;
        }
        return sched_->enqueue(new_task, now_);
    }

    // Runs `tasks` tasks on the only VM, one after another, for `task_duration` each.
    void drain(int tasks, base::duration task_duration) {
        for (int i = 0; i < tasks; ++i) {
            const auto decided = sched_->decide(now_, 1);
            ASSERT_EQ(decided.size(), 1U);
            now_ += task_duration;
            sched_->record_completion({std::get<policy::placement>(decided[0]).task,
                                       policy::completion_kind::completed,
                                       {},
                                       task_duration},
                                      now_);
        }
    }

    std::unique_ptr<policy::scheduler> sched_ = policy::make_scheduler();
    base::time_point now_{};
    int next_ = 0;
};

TEST_F(overloaded_cell, refuses_task_with_unreachable_deadline) {
    for (std::size_t i = 0; i < max_queued; ++i) {
        ASSERT_TRUE(enqueue("latency", base::seconds(600)));
    }
    drain(20, base::milliseconds(100));
    // 20 tasks wait and 10 per second complete, so the wait is two seconds.
    const auto late = enqueue("latency", base::seconds(1));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().reason, refusal_reason::deadline_unreachable);
    EXPECT_TRUE(late.error().not_run);
    EXPECT_GT(late.error().retry_after.count(), 0);
    EXPECT_TRUE(enqueue("latency", base::seconds(60)));
}

TEST_F(overloaded_cell, retry_time_follows_drain_rate) {
    std::vector<std::int64_t> retry_ms;
    for (const base::duration task_duration : {base::milliseconds(100), base::milliseconds(1000)}) {
        while (enqueue("batch", base::duration::zero())) {
        }
        drain(30, task_duration);
        while (enqueue("batch", base::duration::zero())) {
        }
        const auto full = enqueue("batch", base::duration::zero());
        ASSERT_FALSE(full);
        EXPECT_EQ(full.error().reason, refusal_reason::queue_full);
        retry_ms.push_back(full.error().retry_after.count());
    }
    // The time to drain a tenth of the queue, 4 tasks, at 10 and then at 1 task per second.
    EXPECT_NEAR(static_cast<double>(retry_ms[0]), 400, 150);
    EXPECT_NEAR(static_cast<double>(retry_ms[1]), 4000, 1500);
}

}  // namespace
