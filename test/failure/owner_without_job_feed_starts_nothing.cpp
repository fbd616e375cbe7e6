// An owner loses its feed of job changes while the store answers all other calls. Some of the jobs
// that it would start may have been cancelled, so it starts nothing until it receives changes
// again. While the whole store is unavailable nothing can be cancelled, and work continues.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
// Longer than the 2 s for which the last update of the feed counts.
constexpr std::chrono::milliseconds feed_expiry_wait{3'500};
constexpr std::chrono::milliseconds observation_time{1'000};

TEST(owner_without_job_feed, starts_nothing_until_feed_resumes) {
    fleet_cluster daemons(1, {});
    ASSERT_TRUE(daemons.wait_until_ready(0));
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() == 0 && daemons.ready(0); }));
    ASSERT_EQ(daemons.submit(0, job_id_text(1), 1).status, ok);
    ASSERT_TRUE(wait_until(
        [&] { return daemons.site().counts_of(fleet::job_id(job_id_text(1))).starts == 1; }));

    daemons.site().set_feed_held("jobs", true);
    std::this_thread::sleep_for(feed_expiry_wait);
    ASSERT_EQ(daemons.submit(0, job_id_text(2), 1).status, ok);
    std::this_thread::sleep_for(observation_time);
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job_id_text(2))).starts, 0);
    EXPECT_NE(daemons.log_text(0).find("event=starts_held held=true"), std::string::npos);

    daemons.site().set_feed_held("jobs", false);
    EXPECT_TRUE(wait_until(
        [&] { return daemons.site().counts_of(fleet::job_id(job_id_text(2))).starts == 1; }));
}

}  // namespace
