// The store rejects the progress rows of one job, for a reason that the daemons don't know. Jobs of
// the same partition are saved and shown as complete all the same.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int rejected_tasks = 2'500;
constexpr int small_jobs = 5;

TEST(full_row, of_one_job_does_not_stop_fleet) {
    platform_site_options plan;
    plan.rejects_row = [](const std::string& table, const std::string& key) {
        return table == "progress" && key.find(job_id_text(1)) == 0;
    };
    fleet_cluster daemons(1, plan);
    ASSERT_TRUE(daemons.wait_until_ready(0));
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0 && daemons.ready(0); }));
    ASSERT_EQ(daemons.submit(0, job_id_text(1), rejected_tasks, "k", "/batch/").status, ok);
    ASSERT_TRUE(wait_until(
        [&] { return daemons.log_text(0).find("event=write_rejected") != std::string::npos; }));
    for (int i = 0; i < small_jobs; ++i) {
        ASSERT_EQ(daemons.submit(0, job_id_text(10 + i), 1).status, ok);
    }
    for (int i = 0; i < small_jobs; ++i) {
        EXPECT_TRUE(wait_until([&] {
            const auto reply = daemons.call(0, "GET", "/urgent/" + job_id_text(10 + i));
            return reply.status == ok && reply.body.at("state") == "complete";
        })) << "job "
            << i;
    }
    EXPECT_NE(daemons.log_text(0).find("event=row_rejected"), std::string::npos);
}

}  // namespace
