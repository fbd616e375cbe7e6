// Requests to real daemons of a fleet: answers and refusals have the expected status, a cancelled
// job stops, a job that is submitted repeatedly runs once, and a new configuration takes effect.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr base::milliseconds long_timeout{20'000};

class fleet_requests : public testing::Test {
public:
    fleet_requests() : daemons(2, platform_site_options{}) {
        EXPECT_TRUE(daemons.wait_until_ready(long_timeout));
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, long_timeout));
    }

    std::string state_of(int daemon, const std::string& path) {
        const auto reply = daemons.call(daemon, "GET", path);
        return reply.status == ok ? reply.body.at("state").get<std::string>()
                                  : std::to_string(reply.status);
    }

    fleet_cluster daemons;
};

TEST_F(fleet_requests, repeated_submission_runs_once) {
    const std::string id = job_id_text(1);
    EXPECT_EQ(daemons.submit(0, id, 3).status, ok);
    EXPECT_EQ(daemons.submit(1, id, 3).status, ok);
    EXPECT_TRUE(
        wait_until([&] { return state_of(1, "/urgent/" + id) == "complete"; }, long_timeout));
    EXPECT_EQ(daemons.submit(0, id, 3).status, ok);
    EXPECT_EQ(state_of(0, "/urgent/" + id), "complete");
    EXPECT_EQ(daemons.site().start_count(), 3);
    EXPECT_TRUE(daemons.site().violations().empty());
}

TEST_F(fleet_requests, refusals_have_status) {
    EXPECT_EQ(daemons.submit(0, job_id_text(1), 1, "unknown").status, 401);
    EXPECT_EQ(daemons.submit(0, job_id_text(1), 1, "").status, 401);
    EXPECT_EQ(daemons.submit(0, job_id_text(1), 1, "k", "/nowhere/").status, 404);
    EXPECT_EQ(daemons.submit(0, "short", 1).status, 400);
    EXPECT_EQ(daemons.call(0, "POST", "/urgent/" + job_id_text(1), "{").status, 400);
    EXPECT_EQ(
        daemons.call(0, "POST", "/urgent/" + job_id_text(1), R"({"spec":"x","phases":[]})").status,
        400);
    EXPECT_EQ(daemons.call(0, "GET", "/urgent/" + job_id_text(404)).status, 410);
    EXPECT_EQ(daemons.call(0, "DELETE", "/urgent/" + job_id_text(404)).status, 410);
    // The owner reports the capacity of the largest VM to the other daemons.
    int number = 100;
    EXPECT_TRUE(wait_until(
        [&] {
            const auto too_large =
                daemons.call(0, "POST", "/urgent/" + job_id_text(++number),
                             R"({"spec":"x","phases":[{"count":1,"cpu":900000,"memMb":1}]})");
            return too_large.status == 429;
        },
        long_timeout));
    EXPECT_EQ(daemons.site().start_count(), 0);
    const auto submit_with_label = [&](const std::string& label) {
        return daemons
            .call(0, "POST", "/urgent/" + job_id_text(++number),
                  R"({"spec":"x","phases":[{"count":1,"cpu":1000,"memMb":1,"requirements":")" +
                      label + R"("}]})")
            .status;
    };
    EXPECT_EQ(submit_with_label("nowhere"), 429);
    EXPECT_EQ(submit_with_label("a"), ok);
}

TEST_F(fleet_requests, cancelled_job_stops) {
    const std::string id = job_id_text(7);
    constexpr int more_than_fits = 200;
    ASSERT_EQ(daemons.submit(0, id, more_than_fits).status, ok);
    ASSERT_TRUE(wait_until([&] { return daemons.site().start_count() > 0; }, long_timeout));
    EXPECT_EQ(daemons.call(1, "DELETE", "/urgent/" + id).status, ok);
    EXPECT_EQ(state_of(1, "/urgent/" + id), "cancelled");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const int after = daemons.site().start_count();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_EQ(daemons.site().start_count(), after);
    EXPECT_LT(after, more_than_fits);
}

// Cancels each job at about the time of its completion. The final state that was reported first
// must not change.
TEST_F(fleet_requests, confirmed_final_state_does_not_change) {
    const auto is_final = [](const std::string& state) {
        return state == "cancelled" || state == "complete";
    };
    constexpr int jobs = 12;
    for (int i = 0; i < jobs; ++i) {
        const std::string path = "/urgent/" + job_id_text(300 + i);
        ASSERT_EQ(daemons.submit(0, job_id_text(300 + i), 1).status, ok);
        // Tasks take 300 ms.
        std::this_thread::sleep_for(std::chrono::milliseconds(270 + 10 * i));
        const auto cancelled = daemons.call(1, "DELETE", path);
        ASSERT_EQ(cancelled.status, ok);
        const auto final_state = cancelled.body.at("state").get<std::string>();
        EXPECT_TRUE(is_final(final_state)) << final_state;
        EXPECT_EQ(state_of(1, path), final_state);
        EXPECT_EQ(state_of(0, path), final_state);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        EXPECT_EQ(state_of(0, path), final_state);
    }
}

TEST_F(fleet_requests, advised_job_completes) {
    daemons.site().put_row("op", "config", fleet_cluster::configuration(2, true));
    // The new version changes only the advice of the queue, so no changed key shows when it is in
    // force.
    const std::string id = job_id_text(9);
    ASSERT_EQ(daemons.submit(0, id, 4, "k", "/batch/").status, ok);
    EXPECT_TRUE(
        wait_until([&] { return state_of(0, "/batch/" + id) == "complete"; }, long_timeout));
    EXPECT_EQ(daemons.site().start_count(), 4);
}

TEST_F(fleet_requests, configuration_takes_effect_on_all_daemons) {
    daemons.site().put_row("op", "config", fleet_cluster::configuration(2, false, "another"));
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(wait_until(
            [&, i] { return daemons.submit(i, job_id_text(20 + i), 1, "another").status == ok; },
            base::milliseconds(3'000)));
        EXPECT_EQ(daemons.submit(i, job_id_text(30 + i), 1, "k").status, 401);
    }
    // Rows that cannot be decoded have no effect.
    daemons.site().put_row("op", "config", "{\"version\":3}");
    daemons.site().put_row("servers", "strange", "\xff not a member");
    EXPECT_EQ(daemons.submit(0, job_id_text(40), 1, "another").status, ok);
    EXPECT_TRUE(wait_until([&] { return state_of(1, "/urgent/" + job_id_text(40)) == "401"; },
                           long_timeout));
}

TEST_F(fleet_requests, waiting_jobs_are_counted) {
    constexpr int more_than_fits = 200;
    ASSERT_EQ(daemons.submit(0, job_id_text(1), more_than_fits).status, ok);
    for (int i = 2; i < 8; ++i) {
        ASSERT_EQ(daemons.submit(0, job_id_text(i), 1, "k", "/batch/").status, ok);
    }
    EXPECT_TRUE(wait_until(
        [&] {
            const auto reply = daemons.call(1, "GET", "/batch/");
            return reply.status == ok && reply.body.at("pending").get<int>() > 0;
        },
        long_timeout));
}

TEST_F(fleet_requests, idle_fleet_makes_few_calls) {
    const int calls = daemons.site().store_call_count();
    const int watches = daemons.site().watch_count();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    // Two daemons: both read a renewal every 0.4 s, and their change feeds wait 0.5 to 1 s.
    constexpr int max_calls_per_s = 16;
    constexpr int max_watches_per_vm_and_s = 2;
    EXPECT_LT(daemons.site().store_call_count() - calls, 5 * max_calls_per_s);
    EXPECT_LT(daemons.site().watch_count() - watches, 5 * max_watches_per_vm_and_s * 6);
}

}  // namespace
