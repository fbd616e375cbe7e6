// The load from which waits are estimated counts the waiting work that would be placed before a new
// job: not work that has lost its value, work beyond its customer's share or its upper limit, or
// occurrences that are not due yet. A long backlog is sampled.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class load_of_backlog : public testing::Test {
public:
    load_of_backlog() { configure(1'000, 0); }

    void configure(double share, std::int64_t limit) {
        auto configuration = two_queue_configuration(limit);
        configuration.customers.begin()->second.share = share;
        owner.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
    }

    void add_jobs(int count, base::milliseconds age = base::milliseconds{0}) {
        for (int i = 0; i < count; ++i) {
            auto job =
                make_job("job-" + std::to_string(job_count++), "urgent", {make_step(2, 1'000)});
            job.accepted = fleet::unix_time(now.wall.value() - age.count());
            owner.add_job(job, nullptr, false, now);
        }
    }

    fleet::queue_load urgent() const {
        return owner.load(now).queues.at(fleet::queue_name("urgent"));
    }

    int job_count = 0;
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
};

// The objective of the jobs is 1.2 s.
TEST_F(load_of_backlog, work_without_value_does_not_count) {
    add_jobs(10);
    add_jobs(20, base::milliseconds(2'000));
    add_jobs(40, base::milliseconds(60'000));
    const auto load = urgent();
    EXPECT_EQ(load.in_time.tasks, 20);
    EXPECT_EQ(load.late.tasks, 40);
    EXPECT_EQ(load.late.millicores, 40'000);
    EXPECT_EQ(load.objective, base::milliseconds(1'200));
    EXPECT_EQ(load.run_time, base::milliseconds(100));
}

TEST_F(load_of_backlog, customer_that_sends_many_times_its_share_does_not_count) {
    configure(5, 0);
    add_jobs(200);
    EXPECT_EQ(urgent().in_time.tasks, 10);
}

TEST_F(load_of_backlog, work_beyond_customers_limit_does_not_count) {
    configure(1'000, 8'000);
    add_jobs(200);
    EXPECT_EQ(urgent().in_time.tasks, 8);
}

TEST_F(load_of_backlog, occurrence_counts_from_its_due_time) {
    auto job = make_job("timed", "urgent", {make_step(2, 1'000)});
    job.occurrences = 2;
    job.period = base::milliseconds(10'000);
    job.first_start = fleet::unix_time(now.wall.value() + 5'000);
    owner.add_job(job, nullptr, false, now);
    owner.decide(now, {});
    EXPECT_EQ(urgent().in_time.tasks, 0);
    now.wall = job.first_start;
    now.steady += base::milliseconds(5'000);
    owner.decide(now, {});
    EXPECT_EQ(urgent().in_time.tasks, 2);
    EXPECT_EQ(urgent().oldest_age, base::milliseconds(0));
}

TEST_F(load_of_backlog, long_backlog_is_sampled) {
    configure(100'000, 0);
    add_jobs(30'000);
    EXPECT_NEAR(urgent().in_time.tasks, 60'000, 600);
}

TEST_F(load_of_backlog, confirmed_starts_and_releases_are_counted) {
    fleet::vm_info facts;
    facts.id = fleet::vm_id("vm");
    facts.service = fleet::service_name("svc");
    facts.capacity = vm_capacity_of(8'000);
    owner.vm_listed(facts);
    owner.vm_reported(facts.id, {}, now.steady, now);
    owner.inherited_runs_reported(now);
    add_jobs(1, base::milliseconds(500));
    const auto starts = owner.decide(now, {}).starts;
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_EQ(owner.load(now).services[facts.service].all_started_tasks(), 0);
    owner.start_answered(facts.id, starts[0].task, starts[0].run, fleet::vm_time(1), now);
    const auto load = owner.load(now);
    EXPECT_EQ(load.services.at(facts.service).all_started_tasks(), 1);
    EXPECT_EQ(load.services.at(facts.service).free_millicores, 6'000);
    EXPECT_EQ(urgent().first_starts, 1);
    EXPECT_EQ(urgent().total_start_wait, base::milliseconds(500));
    fleet::vm_report report;
    report.completions.push_back({fleet::completion_number(1),
                                  starts[0].task,
                                  starts[0].run,
                                  fleet::completion_kind::done,
                                  {}});
    owner.vm_reported(facts.id, report, now.steady, now);
    EXPECT_EQ(owner.load(now).services[facts.service].released_millicores, 1'000);
}

}  // namespace
