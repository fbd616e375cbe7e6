// A team's key is withdrawn while one daemon is cut off from the store and another is frozen. Every
// daemon refuses the key within seconds, the frozen one already in its first answer, and queues
// that are open to all go on without a key.
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/config/keys.hpp>

#include "standins/crew.hpp"

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
constexpr std::size_t frozen = 1;
constexpr std::size_t cut_off = 2;

// The product's default bound on the age of a configuration that keyed work is judged by, and what
// "within seconds" may cost on a loaded machine.
constexpr base::milliseconds freshness{5'000};
constexpr base::milliseconds seconds_at_most{15'000};

crew_shape shape_with_a_cut_member() {
    crew_shape out;
    out.members.at(cut_off).relayed = true;
    out.configuration = default_configuration();
    out.configuration["queues"]["orders"] = {{"policy", "must_finish"}, {"open", false}};
    // The cut daemon's own cell is this team's home: others take it over.
    out.configuration["teams"]["tide"] = {
        {"home_region", "southvale"}, {"share", 1}, {"upper_limit", 16}};
    out.configuration["queues"]["tides"] = {
        {"policy", "must_finish"}, {"open", true}, {"open_team", "tide"}};
    return out;
}

class withdrawn_key : public ::testing::Test {
protected:
    withdrawn_key() {
        for (const auto& it : {operations_, lost_, kept_}) {
            daemons_.patch(steady, json::parse(config::patch_adding(it.entry)),
                           operations_.bearer_token);
        }
    }

    static call_work work_with(const config::made_key& key) {
        call_work out;
        out.queue = "orders";
        out.bearer = key.bearer_token;
        return out;
    }

    call_result show(std::size_t entry, const config::made_key& key) const {
        return daemons_.submit(entry, work_with(key));
    }

    std::future<call_result> show_later(std::size_t entry, const config::made_key& key) const {
        return daemons_.submit_later(entry, work_with(key));
    }

    bool works(std::size_t entry, const config::made_key& key) const {
        return wait_until([&] { return show(entry, key).status == ok; });
    }

    bool refused_in_time(std::size_t entry, const std::string& reason) const {
        return wait_until([&] { return show(entry, lost_).reason() == reason; }, seconds_at_most);
    }

    void withdraw_lost_key() const {
        daemons_.patch(steady, {{"keys", {{lost_.entry.id.str(), {{"withdrawn", true}}}}}},
                       operations_.bearer_token);
    }

    void expect_only_the_kept_key_works() const {
        for (std::size_t entry = 0; entry < daemons_.size(); ++entry) {
            EXPECT_TRUE(works(entry, kept_)) << show(entry, kept_).body;
            EXPECT_EQ(show(entry, lost_).reason(), "key_withdrawn");
            EXPECT_EQ(daemons_.submit(entry, {}).status, ok);
        }
    }

    base::monotonic_clock clock_;
    config::openssl_random random_;
    config::made_key operations_ =
        config::make_key({config::key_role::operations, base::team_id()}, random_);
    config::made_key lost_ =
        config::make_key({config::key_role::submitter, base::team_id("survey")}, random_);
    config::made_key kept_ =
        config::make_key({config::key_role::submitter, base::team_id("survey")}, random_);
    crew daemons_{shape_with_a_cut_member()};
};

TEST_F(withdrawn_key, stops_working_at_an_entry_that_the_store_is_cut_from) {
    for (const std::size_t entry : {steady, frozen, cut_off}) {
        ASSERT_TRUE(works(entry, lost_)) << show(entry, lost_).body;
    }
    daemons_.command_link(daemons_.platform_link(cut_off), "cut");
    withdraw_lost_key();
    EXPECT_TRUE(refused_in_time(steady, "key_withdrawn")) << show(steady, lost_).body;
    EXPECT_TRUE(refused_in_time(frozen, "key_withdrawn")) << show(frozen, lost_).body;
    // Also a key that still stands is refused where the configuration can't be shown to be fresh.
    EXPECT_TRUE(refused_in_time(cut_off, "configuration_not_fresh")) << show(cut_off, lost_).body;
    EXPECT_EQ(show(cut_off, kept_).reason(), "configuration_not_fresh");
    for (const char* const queue : {"mosaics", "tides"}) {
        call_work work;
        work.queue = queue;
        const call_result open_work = daemons_.submit(cut_off, work);
        EXPECT_EQ(open_work.status, ok) << queue << ": " << open_work.body;
    }

    daemons_.command_link(daemons_.platform_link(cut_off), "restore");
    expect_only_the_kept_key_works();
}

TEST_F(withdrawn_key, is_refused_in_the_first_answer_of_a_daemon_that_was_frozen) {
    ASSERT_TRUE(works(frozen, lost_)) << show(frozen, lost_).body;
    daemons_.running(frozen).signal(SIGSTOP);
    const auto frozen_since = clock_.now();
    withdraw_lost_key();
    ASSERT_TRUE(wait_until([&] { return clock_.now() - frozen_since > freshness; }));

    // The request waits in the frozen daemon's socket before any newer version can be read.
    auto first = show_later(frozen, lost_);
    daemons_.running(frozen).signal(SIGCONT);
    const call_result answer = first.get();
    EXPECT_TRUE(answer.reason() == "key_withdrawn" || answer.reason() == "configuration_not_fresh")
        << answer.status << " " << answer.body;
    expect_only_the_kept_key_works();
}

}  // namespace
