// An entry notifies the owner of a row that has become durable. The notification may be late,
// because a suspended daemon resumes or an answer of the store was slow. A row that the owner has
// read since then is newer and takes precedence. A notification of a row that it has not read yet
// counts, whichever owner the entry addressed.
#include <cranberrydock/fleet/job_rows.hpp>

#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"
#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int daemon_count = 2;

struct durable_row {
    std::string value;
    std::int64_t version = 0;
};

class late_row_notification : public testing::Test {
public:
    late_row_notification() : daemons(daemon_count, platform_site_options{}) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }));
        EXPECT_TRUE(daemons.wait_until_ready());
        EXPECT_TRUE(wait_until([&] { return has_loaded(daemons.owner_index()); }));
    }

    void TearDown() override {
        for (const auto& it : daemons.site().violations()) {
            ADD_FAILURE() << it;
        }
    }

    bool has_loaded(int daemon) const {
        return daemons.log_text(daemon).find("event=owner_loaded") != std::string::npos;
    }

    std::string state_of(int daemon) {
        const auto reply = daemons.call(daemon, "GET", "/urgent/" + job);
        return reply.status == ok ? reply.body.at("state").get<std::string>()
                                  : std::to_string(reply.status);
    }

    bool job_completes(int daemon) {
        return wait_until([&] { return state_of(daemon) == "complete"; });
    }

    durable_row stored() {
        return {daemons.site().row_value("jobs", job), daemons.site().row_version("jobs", job)};
    }

    // Notifies the daemon of the row, as an entry does that assumes the owner has this fencing
    // token.
    void notify(int daemon, const durable_row& row, std::int64_t fencing_token) {
        const auto bytes = json::to_cbor(
            {{"fence", fencing_token},
             {"job", job},
             {"row", json::binary(std::vector<std::uint8_t>(row.value.begin(), row.value.end()))},
             {"version", row.version}});
        EXPECT_EQ(
            daemons.peer_call(daemon, "/peer/written", std::string(bytes.begin(), bytes.end()))
                .status,
            ok);
    }

    std::int64_t fencing_token() {
        return json::from_cbor(daemons.site().row_value("fleet", "owner"))
            .at("fence")
            .get<std::int64_t>();
    }

    static std::string cancelled_row() {
        return fleet::encode_cancelled({fleet::customer_name("crew"), fleet::queue_name("urgent")});
    }

    static std::string submitted_row() {
        return fleet::encode_job(make_job("", "urgent", {make_step(1, 1'000)}));
    }

    fleet_cluster daemons;
    const std::string job = job_id_text(1);
};

TEST_F(late_row_notification, job_completed_under_previous_owner_is_not_restarted) {
    const int first_owner = daemons.owner_index();
    const int second_owner = 1 - first_owner;
    ASSERT_EQ(daemons.submit(second_owner, job, 1).status, ok);
    const auto submitted_row = stored();
    ASSERT_GT(submitted_row.version, 0);
    ASSERT_TRUE(job_completes(second_owner));
    daemons.kill(first_owner);
    ASSERT_TRUE(wait_until(
        [&] { return daemons.owner_index() == second_owner && has_loaded(second_owner); }));

    notify(second_owner, submitted_row, fencing_token());
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(state_of(second_owner), "complete");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, 1);
}

// The feed of the tables is a little behind the notifications of the entries. Found by the soak,
// seed 612.
TEST_F(late_row_notification, cancellation_for_previous_owner_is_applied) {
    const int owner = daemons.owner_index();
    ASSERT_EQ(daemons.submit(owner, job, 1).status, ok);
    daemons.site().set_feed_held("jobs", true);
    daemons.site().rewrite_row("jobs", job, cancelled_row());
    notify(owner, stored(), fencing_token() - 1);
    EXPECT_EQ(state_of(owner), "cancelled");
}

// Two entries notify the owner of two rows of the job, and the notification of the later row
// arrives first. The feed is behind both.
TEST_F(late_row_notification, submission_after_newer_cancellation_is_ignored) {
    const int owner = daemons.owner_index();
    daemons.site().set_feed_held("jobs", true);
    constexpr std::int64_t newer_than_stored = 1'000'000;
    notify(owner, {cancelled_row(), newer_than_stored + 1}, fencing_token());
    notify(owner, {submitted_row(), newer_than_stored}, fencing_token());
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, 0);
    EXPECT_EQ(state_of(owner), "cancelled");
}

TEST_F(late_row_notification, job_of_newer_owner_ends_the_ownership) {
    const int owner = daemons.owner_index();
    const std::int64_t token = fencing_token();
    ASSERT_EQ(daemons.submit(owner, job, 1).status, ok);
    fleet::job_spec job_of_newer_owner = make_job(job, "urgent", {make_step(1, 1'000)});
    EXPECT_EQ(fleet::decode_job(job_of_newer_owner.id, stored().value)->job.accepted_under,
              fleet::fencing_token(token));

    job_of_newer_owner.accepted_under = fleet::fencing_token(token + 1);
    constexpr std::int64_t newer_than_stored = 1'000'000;
    notify(owner, {fleet::encode_job(job_of_newer_owner), newer_than_stored}, token + 1);
    // No other daemon has taken over, so this one does, under a token that it has not used yet.
    EXPECT_TRUE(wait_until([&] { return fencing_token() > token; }));
    EXPECT_TRUE(job_completes(owner));
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, 1);
}

}  // namespace
