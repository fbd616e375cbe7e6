// An owner takes over a timed job while an occurrence runs for which nothing has been saved yet.
// The VMs report running and ended tasks of the occurrence before the new owner has opened it. Both
// must count, and new runs must get numbers that no earlier run has.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::int64_t start_of_day = 1'000'000;
constexpr int tasks = 2;

class inherited_timed_job : public testing::Test {
public:
    inherited_timed_job() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        fleet::vm_info facts;
        facts.id = vm;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        owner.vm_listed(facts);

        fleet::job_spec job = make_job("job", "urgent", {make_step(tasks, 1'000)});
        job.occurrences = 3;
        job.period = base::milliseconds(1'000);
        job.first_start = fleet::unix_time(start_of_day);
        fleet::job_progress saved;
        saved.customer = job.customer;
        saved.queue = job.queue;
        saved.state = fleet::job_state::active;
        saved.occurrences = {{{{true, true}, {{}, {}}}}};
        owner.add_job(job, &saved, true, now);
    }

    fleet::task_ref task(int index) const { return {fleet::job_id("job"), 1, 0, index}; }

    std::vector<fleet::start_decision> starts() {
        owner.inherited_runs_reported(now);
        return owner.decide(now, {}).starts;
    }

    const fleet::vm_id vm{"vm"};
    base::metrics metrics;
    // The second occurrence has been due for 500 ms.
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(start_of_day + 1'500)};
    fleet::scheduler owner{fleet::fencing_token(2), {}, metrics};
    fleet::vm_report report;
};

TEST_F(inherited_timed_job, ended_task_is_not_restarted) {
    report.completions.push_back({fleet::completion_number(1),
                                  task(0),
                                  fleet::run_number(1),
                                  fleet::completion_kind::done,
                                  {}});
    owner.vm_reported(vm, report, now.steady, now);
    EXPECT_EQ(owner.acknowledgeable_completion(vm), fleet::completion_number(0))
        << "the completion is not saved yet";
    const auto started = starts();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].task, task(1));
}

TEST_F(inherited_timed_job, running_task_is_kept) {
    report.running.push_back({task(0), fleet::run_number(1), {}, 10});
    owner.vm_reported(vm, report, now.steady, now);
    owner.inherited_runs_reported(now);
    const auto decided = owner.decide(now, {});
    EXPECT_TRUE(decided.stops.empty());
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].task, task(1));
}

TEST_F(inherited_timed_job, new_runs_get_unused_numbers) {
    owner.vm_reported(vm, report, now.steady, now);
    const auto started = starts();
    ASSERT_EQ(started.size(), 2U);
    for (const auto& it : started) {
        EXPECT_GT(it.run, fleet::run_number(64)) << "a previous owner may have used this number";
    }
}

// The wall clocks of the owners may differ: for the new owner the occurrence is not due yet.
TEST_F(inherited_timed_job, occurrence_begun_by_previous_owner_continues) {
    now.wall = fleet::unix_time(start_of_day + 900);
    report.completions.push_back({fleet::completion_number(1),
                                  task(0),
                                  fleet::run_number(1),
                                  fleet::completion_kind::done,
                                  {}});
    owner.vm_reported(vm, report, now.steady, now);
    EXPECT_EQ(owner.acknowledgeable_completion(vm), fleet::completion_number(0));
    now.wall = fleet::unix_time(start_of_day + 1'100);
    const auto started = starts();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].task, task(1));
}

}  // namespace
