// A queue refuses new jobs only when the waiting work, the measured rates and the waits of the jobs
// that started lately show that a new job would lose its value before it could start.
#include <cranberrydock/fleet/load_estimate.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using base::milliseconds;

// One service with two queues: "urgent" (urgency 0) and "batch" (urgency 2). The objective of a job
// is 2 s and its run time 1 s, so that it may wait for 5 s.
class load_of_service : public testing::Test {
public:
    load_of_service() {
        for (const char* const name : {"urgent", "batch"}) {
            fleet::queue_load& load = sample.queues[fleet::queue_name(name)];
            load.service = service;
            load.urgency = std::string(name) == "urgent" ? 0 : 2;
            load.objective = milliseconds(2'000);
            load.run_time = milliseconds(1'000);
        }
        sample.services[service] = {};
    }

    fleet::queue_load& queue(const std::string& name) {
        return sample.queues[fleet::queue_name(name)];
    }

    void set_waiting(const std::string& name, double tasks, milliseconds mean_age) {
        queue(name).in_time = {tasks, tasks * millicores_per_task};
        queue(name).mean_age = mean_age;
        queue(name).oldest_age = mean_age * 2;
    }

    // Starts and releases `tasks_per_second` for `time`. Jobs that start have waited for `wait`.
    void run(const std::string& name, milliseconds time, int tasks_per_second, milliseconds wait) {
        constexpr milliseconds period{250};
        for (milliseconds passed{0}; passed < time; passed += period) {
            now += period;
            const std::int64_t n = tasks_per_second * period.count() / 1'000;
            fleet::service_load& load = sample.services[service];
            load.started_tasks[queue(name).urgency] += n;
            load.released_millicores += n * static_cast<std::int64_t>(millicores_per_task);
            queue(name).first_starts += n;
            queue(name).total_start_wait += wait * n;
            estimate.update(sample, now);
        }
    }

    bool refuses(const std::string& name) const {
        return estimate.overloaded().count(fleet::queue_name(name)) > 0;
    }

    static constexpr double millicores_per_task = 1'000;
    const fleet::service_name service{"svc"};
    base::time_point now{std::chrono::seconds(100)};
    fleet::load_sample sample;
    fleet::load_estimate estimate;
};

TEST_F(load_of_service, backlog_beyond_late_limit_is_refused_until_new_jobs_are_in_time) {
    set_waiting("urgent", 700, milliseconds(2'000));
    run("urgent", milliseconds(2'000), 100, milliseconds(2'500));
    ASSERT_TRUE(refuses("urgent"));
    // 7 s to work off, of which the last one is in time.
    const auto retry_after = estimate.overloaded().at(fleet::queue_name("urgent"));
    EXPECT_GE(retry_after, milliseconds(6'000));
    EXPECT_LE(retry_after, milliseconds(10'000));
    set_waiting("urgent", 300, milliseconds(2'000));
    run("urgent", milliseconds(500), 100, milliseconds(3'000));
    EXPECT_TRUE(refuses("urgent"));  // would be in time for some value, but not for its objective
    set_waiting("urgent", 40, milliseconds(400));
    run("urgent", milliseconds(500), 100, milliseconds(1'000));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, backlog_that_is_served_in_time_is_accepted) {
    set_waiting("urgent", 300, milliseconds(1'000));
    run("urgent", milliseconds(4'000), 100, milliseconds(2'000));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, burst_on_calm_service_is_accepted) {
    run("urgent", milliseconds(4'000), 4, milliseconds(10));
    sample.services[service].free_millicores = 1'000'000;
    set_waiting("urgent", 500, milliseconds(50));
    run("urgent", milliseconds(250), 100, milliseconds(60));
    EXPECT_FALSE(refuses("urgent"));
}

// Some work may wait for a label or for its customer's limit, with room for all other work.
TEST_F(load_of_service, work_that_waits_for_particular_vms_refuses_nothing) {
    sample.services[service].free_millicores = 1'000'000;
    set_waiting("urgent", 50, milliseconds(2'000));
    run("urgent", milliseconds(6'000), 4, milliseconds(10));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, slow_starts_with_free_cores_are_refused) {
    sample.services[service].free_millicores = 1'000'000;
    set_waiting("urgent", 700, milliseconds(2'000));
    run("urgent", milliseconds(2'000), 100, milliseconds(2'500));
    EXPECT_TRUE(refuses("urgent"));
}

TEST_F(load_of_service, less_urgent_backlog_does_not_refuse_urgent_jobs) {
    set_waiting("batch", 2'000, milliseconds(2'000));
    run("batch", milliseconds(2'000), 100, milliseconds(2'500));
    EXPECT_TRUE(refuses("batch"));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, urgent_backlog_refuses_less_urgent_jobs) {
    set_waiting("urgent", 80, milliseconds(400));
    set_waiting("batch", 200, milliseconds(2'000));
    run("urgent", milliseconds(1'000), 100, milliseconds(2'500));
    run("batch", milliseconds(1'000), 100, milliseconds(2'500));
    EXPECT_TRUE(refuses("batch"));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, backlog_of_other_service_refuses_nothing) {
    set_waiting("urgent", 2'000, milliseconds(2'000));
    queue("batch").service = fleet::service_name("other");
    sample.services[fleet::service_name("other")] = {};
    run("urgent", milliseconds(4'000), 100, milliseconds(2'500));
    EXPECT_TRUE(refuses("urgent"));
    EXPECT_FALSE(refuses("batch"));
}

TEST_F(load_of_service, owner_that_has_just_begun_refuses_nothing) {
    set_waiting("urgent", 2'000, milliseconds(2'500));
    estimate.starts_not_possible(now);
    EXPECT_FALSE(refuses("urgent"));
    run("urgent", milliseconds(250), 0, milliseconds(0));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, service_without_starts_is_refused_once_wait_is_known) {
    set_waiting("urgent", 10, milliseconds(2'500));
    run("urgent", milliseconds(4'500), 0, milliseconds(0));
    EXPECT_FALSE(refuses("urgent"));
    run("urgent", milliseconds(1'500), 0, milliseconds(0));
    EXPECT_TRUE(refuses("urgent"));
}

TEST_F(load_of_service, old_estimate_is_dropped_while_starts_are_held) {
    set_waiting("urgent", 700, milliseconds(2'000));
    run("urgent", milliseconds(2'000), 100, milliseconds(2'500));
    estimate.starts_not_possible(now + milliseconds(500));
    EXPECT_TRUE(refuses("urgent"));
    estimate.starts_not_possible(now + milliseconds(2'500));
    EXPECT_FALSE(refuses("urgent"));
}

TEST_F(load_of_service, log_text_is_bounded) {
    for (int i = 0; i < 100; ++i) {
        auto& load = sample.queues[fleet::queue_name("q" + std::to_string(i))];
        load = queue("urgent");
        load.in_time = {10, 0};
    }
    run("urgent", milliseconds(1'000), 100, milliseconds(10));
    const auto text = to_log_text(estimate.queues(), 12);
    EXPECT_EQ(std::count(text.begin(), text.end(), ','), 11);
}

}  // namespace
