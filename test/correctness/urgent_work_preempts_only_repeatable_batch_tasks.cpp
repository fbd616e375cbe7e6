// Urgent work without room preempts running batch tasks of a team above its share. The task that
// has run least is stopped. A task that may not be repeated or is not batch is never stopped, and
// no task is stopped while the team of the urgent work is itself above its share.
#include <cranberrydock/policy/scheduler.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;

namespace {

class full_cell : public ::testing::Test {
protected:
    full_cell() {
        sched_->set_queues({{base::queue_name("latency"), policy::queue_kind::latency, 100},
                            {base::queue_name("must_finish"), policy::queue_kind::must_finish, 100},
                            {base::queue_name("batch"), policy::queue_kind::batch, 100}});
        sched_->set_teams({{base::team_id("large"), 1.0, base::slot_count(100), {}},
                           {base::team_id("small"), 1.0, base::slot_count(100), {}}});
        for (const char* vm : {"vm1", "vm2", "vm3", "vm4"}) {
            add_vm(vm);
        }
    }

    void add_vm(const char* id) {
        sched_->set_vm({base::vm_id(id),
                        base::rack_name("r"),
                        {base::millicores(2000), base::mebibytes(2048), {}, base::slot_count(2)},
                        policy::vm_state::usable});
    }

    void enqueue(const std::string& id, const char* team, const char* queue, bool repeatable) {
        policy::task new_task;
        new_task.id = base::task_id(id);
        new_task.job = base::job_id(id);
        new_task.team = base::team_id(team);
        new_task.queue = base::queue_name(queue);
        new_task.kind = base::kind_name(queue);
        new_task.need = {base::millicores(2000), base::mebibytes(1024), {}, base::slot_count(1)};
        new_task.repeatable = repeatable;
        new_task.accepted = now_;
        ASSERT_TRUE(sched_->enqueue(new_task, now_));
    }

    // The tasks that the scheduler decides to stop within two seconds.
    std::vector<std::string> stopped() {
        std::vector<std::string> result;
        for (int i = 0; i < 20; ++i) {
            now_ += base::milliseconds(100);
            for (const policy::decision& it : sched_->decide(now_, 100)) {
                if (const auto* stop = std::get_if<policy::preemption>(&it)) {
                    result.push_back(stop->task.str());
                }
            }
        }
        return result;
    }

    std::unique_ptr<policy::scheduler> sched_ = policy::make_scheduler();
    base::time_point now_{};
};

TEST_F(full_cell, preempts_batch_task_with_shortest_run) {
    for (const char* id : {"b1", "b2", "b3", "b4"}) {
        enqueue(id, "large", "batch", true);
        now_ += base::seconds(1);
        ASSERT_EQ(sched_->decide(now_, 10).size(), 1U);
    }
    enqueue("u1", "small", "latency", true);
    EXPECT_EQ(stopped(), std::vector<std::string>{"b4"});
    enqueue("u2", "small", "latency", true);
    EXPECT_EQ(stopped(), std::vector<std::string>{"b3"}) << "b4 is being stopped already";
    sched_->record_completion({base::task_id("b4"), policy::completion_kind::stopped, {}, {}},
                              now_);
    const auto decided = sched_->decide(now_, 10);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(std::get<policy::placement>(decided[0]).task.str(), "u1");
}

TEST_F(full_cell, keeps_non_repeatable_and_non_batch_tasks) {
    enqueue("b1", "large", "batch", false);
    enqueue("b2", "large", "batch", false);
    enqueue("m1", "large", "must_finish", true);
    enqueue("m2", "large", "must_finish", true);
    ASSERT_EQ(sched_->decide(now_, 10).size(), 4U);
    enqueue("u1", "small", "latency", true);
    EXPECT_TRUE(stopped().empty());
}

TEST_F(full_cell, preempts_nothing_for_team_above_share) {
    sched_->set_teams({{base::team_id("large"), 1.0, base::slot_count(100), {}},
                       {base::team_id("small"), 1.0, base::slot_count(100), {}},
                       {base::team_id("third"), 1.0, base::slot_count(100), {}}});
    for (const char* vm : {"vm5", "vm6", "vm7", "vm8"}) {
        add_vm(vm);
    }
    // The small team has three of eight VMs, more than a third, and the large team has five.
    for (int i = 0; i < 8; ++i) {
        const bool small = i < 3;
        enqueue("t" + std::to_string(i), small ? "small" : "large", small ? "must_finish" : "batch",
                true);
    }
    ASSERT_EQ(sched_->decide(now_, 10).size(), 8U);
    enqueue("w", "third", "must_finish", true);
    enqueue("u1", "small", "latency", true);
    EXPECT_TRUE(stopped().empty());
}

}  // namespace
