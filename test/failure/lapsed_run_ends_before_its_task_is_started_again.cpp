// Real daemons against the stand-in platform. Guards against a task that runs in two places (TWICE)
// because its VM takes its whole stop time to end the runs of an expired lease.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int daemon_count = 3;
constexpr int vm_count = 6;
constexpr int task_count = 24;
constexpr int cut_vm = 2;
constexpr base::milliseconds wait_timeout{30'000};

class vm_with_slow_stops : public testing::TestWithParam<base::milliseconds> {
public:
    static platform_site_options site_options() {
        platform_site_options out;
        out.vms = vm_count;
        out.task_time = base::milliseconds(7'000);  // longer than a lease and the time to end runs
        out.stop_time = GetParam();
        out.max_stop_time = GetParam();
        out.clock_rates = {0.98};
        return out;
    }

    vm_with_slow_stops() : daemons(daemon_count, site_options()) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
        EXPECT_TRUE(daemons.wait_until_ready(wait_timeout));
    }

    void start_job() {
        ASSERT_EQ(daemons.submit(0, job, task_count).status, ok);
        ASSERT_TRUE(wait_until([&] { return daemons.site().vm_is_busy(cut_vm); }, wait_timeout));
    }

    void expect_started_again_in_one_place() {
        EXPECT_TRUE(wait_until(
            [&] { return daemons.site().counts_of(fleet::job_id(job)).starts > task_count; },
            wait_timeout));
        for (const auto& it : daemons.site().violations()) {
            ADD_FAILURE() << it;
        }
    }

    const std::string job = job_id_text(1);
    fleet_cluster daemons;
};

// Refused connections are retried soon, so that the expiry is found at once.
TEST_P(vm_with_slow_stops, ends_runs_while_it_refuses_connections) {
    start_job();
    daemons.site().set_vm_refuses_connections(cut_vm, true);
    expect_started_again_in_one_place();
}

TEST_P(vm_with_slow_stops, ends_runs_before_owner_starts_their_tasks_again) {
    start_job();
    daemons.site().make_vm_unresponsive(cut_vm);
    expect_started_again_in_one_place();
}

// The owner's process is killed and starts again at once, which is the fastest change of owner.
TEST_P(vm_with_slow_stops, ends_runs_before_restarted_owner_starts_their_tasks_again) {
    start_job();
    daemons.site().make_vm_unresponsive(cut_vm);
    const int owner = daemons.owner_index();
    daemons.kill(owner);
    daemons.start(owner);
    expect_started_again_in_one_place();
}

INSTANTIATE_TEST_SUITE_P(stop_times, vm_with_slow_stops,
                         testing::Values(base::milliseconds(400), base::milliseconds(900)));

}  // namespace
