// Jobs wait for capacity while the owner of the fleet changes. A daemon that is asked for the
// number of pending jobs reports at least half of them, or answers with an error, but never with a
// count that misses most of the queue.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int daemon_count = 3;
constexpr int job_count = 40;
constexpr int jobs_with_capacity = 8;
constexpr int min_reported = (job_count - jobs_with_capacity) / 2;
constexpr base::milliseconds wait_timeout{30'000};
constexpr base::milliseconds observation_time{4'000};

platform_site_options small_site() {
    platform_site_options out;
    out.vms = 2;
    out.vm_millicores = 4'000;
    out.task_time = base::milliseconds{60'000};
    return out;
}

class pending_count : public testing::Test {
public:
    pending_count() : daemons(daemon_count, small_site()) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
        EXPECT_TRUE(daemons.wait_until_ready(wait_timeout));
        for (int i = 0; i < job_count; ++i) {
            EXPECT_EQ(daemons.submit(i % daemon_count, job_id_text(i), 1).status, ok);
        }
        for (int i = 0; i < daemon_count; ++i) {
            EXPECT_TRUE(
                wait_until([&, i] { return pending_jobs_at(i) == job_count - jobs_with_capacity; },
                           wait_timeout));
        }
    }

    // The number of pending jobs that the daemon reports; nullopt when it answers with an error.
    std::optional<int> pending_jobs_at(int daemon) {
        const auto reply = daemons.call(daemon, "GET", "/urgent/");
        return reply.status == ok ? std::optional<int>(reply.body.at("pending").get<int>())
                                  : std::nullopt;
    }

    void expect_no_low_counts() {
        const base::monotonic_clock clock;
        const auto end = clock.now() + observation_time;
        while (clock.now() < end) {
            for (int i = 0; i < daemon_count; ++i) {
                const auto pending = pending_jobs_at(i);
                ASSERT_GE(pending.value_or(job_count), min_reported) << "by daemon " << i;
            }
        }
    }

    void expect_all_daemons_report() {
        for (int i = 0; i < daemon_count; ++i) {
            EXPECT_TRUE(wait_until(
                [&, i] { return pending_jobs_at(i).value_or(0) >= min_reported; }, wait_timeout))
                << "daemon " << i << " does not report its pending jobs any more";
        }
    }

    fleet_cluster daemons;
};

TEST_F(pending_count, is_reported_after_owner_is_killed) {
    const int killed = daemons.owner_index();
    daemons.kill(killed);
    daemons.start(killed);
    expect_no_low_counts();
    expect_all_daemons_report();
}

TEST_F(pending_count, is_reported_after_owner_is_stopped) {
    const int stopped = daemons.owner_index();
    daemons.terminate(stopped);
    expect_no_low_counts();
    EXPECT_EQ(daemons.wait_until_ended(stopped), 0);
    daemons.start(stopped);
    expect_all_daemons_report();
}

TEST_F(pending_count, is_reported_after_all_daemons_are_killed) {
    for (int i = 0; i < daemon_count; ++i) {
        daemons.kill(i);
    }
    for (int i = 0; i < daemon_count; ++i) {
        daemons.start(i);
    }
    expect_no_low_counts();
    expect_all_daemons_report();
}

}  // namespace
