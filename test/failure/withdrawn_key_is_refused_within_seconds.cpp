// A team's key is withdrawn while one daemon is cut off from the store, or while another is
// suspended. Every daemon refuses the key within seconds, the suspended one already in its first
// answer. Queues that are open to all keep working without a key.
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/config/keys.hpp>

#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <string>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr std::size_t steady = 0;
constexpr std::size_t suspended = 1;
constexpr std::size_t cut_off = 2;

// The product's default limit on the age of the configuration that keyed work is checked against,
// and the most that "within seconds" may take on a loaded machine.
constexpr base::milliseconds freshness{5'000};
constexpr base::milliseconds max_refusal_delay{15'000};

cell_cluster_options shape_with_relayed_daemon() {
    cell_cluster_options out;
    out.daemons.at(cut_off).relayed = true;
    out.configuration = default_configuration();
    out.configuration["queues"]["orders"] = {{"policy", "must_finish"}, {"open", false}};
    // The home region of this team has only the cell of the cut-off daemon; other daemons take the
    // cell over.
    out.configuration["teams"]["tide"] = {
        {"home_region", "southvale"}, {"share", 1}, {"upper_limit", 16}};
    out.configuration["queues"]["tides"] = {
        {"policy", "must_finish"}, {"open", true}, {"open_team", "tide"}};
    return out;
}

class withdrawn_key : public ::testing::Test {
protected:
    withdrawn_key() {
        for (const auto& it : {operations_key_, withdrawn_key_, valid_key_}) {
            daemons_.patch_configuration(steady, json::parse(config::patch_to_add_key(it.entry)),
                                         operations_key_.bearer_token);
        }
    }

    static work_request work_with(const config::generated_key& key) {
        work_request out;
        out.queue = "orders";
        out.bearer_token = key.bearer_token;
        return out;
    }

    work_response submit_with(std::size_t entry, const config::generated_key& key) const {
        return daemons_.submit(entry, work_with(key));
    }

    std::future<work_response> submit_later_with(std::size_t entry,
                                                 const config::generated_key& key) const {
        return daemons_.submit_async(entry, work_with(key));
    }

    bool is_accepted(std::size_t entry, const config::generated_key& key) const {
        return wait_until([&] { return submit_with(entry, key).status == ok; });
    }

    bool refused_in_time(std::size_t entry, const std::string& reason) const {
        return wait_until([&] { return submit_with(entry, withdrawn_key_).reason() == reason; },
                          max_refusal_delay);
    }

    void withdraw_key() const {
        daemons_.patch_configuration(
            steady, {{"keys", {{withdrawn_key_.entry.id.str(), {{"withdrawn", true}}}}}},
            operations_key_.bearer_token);
    }

    void expect_only_valid_key_is_accepted() const {
        for (std::size_t entry = 0; entry < daemons_.size(); ++entry) {
            EXPECT_TRUE(is_accepted(entry, valid_key_)) << submit_with(entry, valid_key_).body;
            EXPECT_EQ(submit_with(entry, withdrawn_key_).reason(), "key_withdrawn");
            EXPECT_EQ(daemons_.submit(entry, {}).status, ok);
        }
    }

    base::monotonic_clock clock_;
    config::openssl_random random_;
    config::generated_key operations_key_ =
        config::generate_key({config::key_role::operations, base::team_id()}, random_);
    config::generated_key withdrawn_key_ =
        config::generate_key({config::key_role::submitter, base::team_id("survey")}, random_);
    config::generated_key valid_key_ =
        config::generate_key({config::key_role::submitter, base::team_id("survey")}, random_);
    cell_cluster daemons_{shape_with_relayed_daemon()};
};

TEST_F(withdrawn_key, is_refused_by_daemon_cut_off_from_store) {
    for (const std::size_t entry : {steady, suspended, cut_off}) {
        ASSERT_TRUE(is_accepted(entry, withdrawn_key_)) << submit_with(entry, withdrawn_key_).body;
    }
    daemons_.command_link(daemons_.platform_link(cut_off), "cut");
    withdraw_key();
    EXPECT_TRUE(refused_in_time(steady, "key_withdrawn"))
        << submit_with(steady, withdrawn_key_).body;
    EXPECT_TRUE(refused_in_time(suspended, "key_withdrawn"))
        << submit_with(suspended, withdrawn_key_).body;
    // A valid key is refused as well where the configuration can't be shown to be fresh.
    EXPECT_TRUE(refused_in_time(cut_off, "configuration_not_fresh"))
        << submit_with(cut_off, withdrawn_key_).body;
    EXPECT_EQ(submit_with(cut_off, valid_key_).reason(), "configuration_not_fresh");
    for (const char* const queue : {"mosaics", "tides"}) {
        work_request work;
        work.queue = queue;
        const work_response open_work = daemons_.submit(cut_off, work);
        EXPECT_EQ(open_work.status, ok) << queue << ": " << open_work.body;
    }

    daemons_.command_link(daemons_.platform_link(cut_off), "restore");
    expect_only_valid_key_is_accepted();
}

TEST_F(withdrawn_key, is_refused_in_first_answer_of_resumed_daemon) {
    ASSERT_TRUE(is_accepted(suspended, withdrawn_key_))
        << submit_with(suspended, withdrawn_key_).body;
    daemons_.daemon_process(suspended).signal(SIGSTOP);
    const auto suspended_at = clock_.now();
    withdraw_key();
    ASSERT_TRUE(wait_until([&] { return clock_.now() - suspended_at > freshness; }));

    // The request is in the suspended daemon's socket before the daemon can read a newer version.
    auto first_call = submit_later_with(suspended, withdrawn_key_);
    daemons_.daemon_process(suspended).signal(SIGCONT);
    const work_response first_result = first_call.get();
    EXPECT_TRUE(first_result.reason() == "key_withdrawn" ||
                first_result.reason() == "configuration_not_fresh")
        << first_result.status << " " << first_result.body;
    expect_only_valid_key_is_accepted();
}

}  // namespace
