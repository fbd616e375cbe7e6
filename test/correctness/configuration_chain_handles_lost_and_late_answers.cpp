// Single sequences that random runs rarely produce: the answers of the chain to patches, and its
// answers to other daemons while a commit of its own may still be applied.
#include <cranberrydock/config/version_chain.hpp>
#include <cranberrydock/config/version_record.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::config;
using base::milliseconds;

class configuration_chain : public ::testing::Test {
protected:
    std::vector<chain_effect> handle_event(const chain_event& event) {
        return chain_.handle(event, now_);
    }

    // Returns the last effect of this type. The test fails if there is none.
    template <typename Effect>
    static Effect last(const std::vector<chain_effect>& effects) {
        for (auto it = effects.rbegin(); it != effects.rend(); ++it) {
            if (const auto* found = std::get_if<Effect>(&*it)) {
                return *found;
            }
        }
        ADD_FAILURE() << "effect not found; number of effects: " << effects.size();
        return {};
    }

    static row_read head_answer(store_operation operation, std::int64_t version,
                                std::int64_t row_version) {
        return {operation, platform::row{head_key(), platform::row_version(row_version),
                                         encode_head(base::config_version(version))}};
    }

    static row_read failed(store_operation operation) {
        return {operation, tl::unexpected(platform::store_error::unavailable)};
    }

    // Puts version 0 in force and begins the commit of a patch against it.
    commit_rows begin_commit() {
        const auto poll = last<read_row>(handle_event(chain_tick{}));
        handle_event(row_read{poll.operation, std::optional<platform::row>()});
        const auto head = last<read_row>(handle_event(
            patch_requested{patch_call(1), base::config_version(0),
                            R"({"queues":{"q":{"policy":"batch"}}})", "operator", "now"}));
        return last<commit_rows>(
            handle_event(row_read{head.operation, std::optional<platform::row>()}));
    }

    bool promises_outage() {
        return last<outage_answer>(handle_event(outage_query{base::daemon_id("other"), {}}))
            .granted;
    }

    base::time_point now_{base::seconds(100)};
    version_chain_settings settings_;
    version_chain chain_{settings_};
};

TEST_F(configuration_chain, accepts_patch_found_in_store_after_lost_answer) {
    const auto commit = begin_commit();
    ASSERT_EQ(commit.transaction.writes.size(), 2U);
    const auto read_back = last<read_row>(handle_event(
        rows_committed{commit.operation, tl::unexpected(platform::store_error::answer_lost)}));
    EXPECT_EQ(read_back.key, version_key(base::config_version(1)));
    const auto effects = handle_event(
        row_read{read_back.operation,
                 platform::row{read_back.key, {}, *commit.transaction.writes[1].value}});
    const auto outcome = last<patch_finished>(effects).outcome;
    ASSERT_TRUE(std::holds_alternative<patch_accepted>(outcome));
    EXPECT_EQ(std::get<patch_accepted>(outcome).version, base::config_version(1));
    EXPECT_EQ(last<announce_version>(effects).version, base::config_version(1));
    EXPECT_EQ(chain_.in_force()->version, base::config_version(1));
    EXPECT_EQ(chain_.fresh_until(), now_ + settings_.freshness);
}

TEST_F(configuration_chain, reports_unknown_outcome_when_store_stays_unavailable) {
    const auto commit = begin_commit();
    handle_event(
        rows_committed{commit.operation, tl::unexpected(platform::store_error::answer_lost)});
    now_ += settings_.patch_deadline;
    const auto outcome = last<patch_finished>(handle_event(chain_tick{})).outcome;
    ASSERT_TRUE(std::holds_alternative<base::refusal>(outcome));
    EXPECT_EQ(std::get<base::refusal>(outcome).reason, base::refusal_reason::outcome_unknown);
    EXPECT_FALSE(std::get<base::refusal>(outcome).not_run);
}

TEST_F(configuration_chain, withholds_outage_promise_while_commit_may_apply) {
    begin_commit();
    now_ += settings_.patch_deadline;
    auto poll = last<read_row>(handle_event(chain_tick{}));
    // From here on, each answer triggers the next poll.
    const auto fail_poll = [&] {
        now_ += settings_.poll_interval;
        poll = last<read_row>(handle_event(failed(poll.operation)));
    };
    fail_poll();
    EXPECT_FALSE(promises_outage());
    // The version of another daemon took its place, so the commit can no longer be applied.
    now_ += settings_.poll_interval;
    poll = last<read_row>(handle_event(head_answer(poll.operation, 1, 9)));
    fail_poll();
    EXPECT_TRUE(promises_outage());
}

TEST_F(configuration_chain, older_read_does_not_prove_failed_commit) {
    const auto first_poll = last<read_row>(handle_event(chain_tick{}));
    handle_event(row_read{first_poll.operation, std::optional<platform::row>()});
    now_ += settings_.poll_interval;
    const auto old_poll = last<read_row>(handle_event(chain_tick{}));
    handle_event(version_announced{base::config_version(1), "{}"});
    const auto head = last<read_row>(handle_event(
        patch_requested{patch_call(1), base::config_version(1), "{}", "operator", "now"}));
    last<commit_rows>(handle_event(head_answer(head.operation, 1, 9)));
    now_ += settings_.patch_deadline;
    EXPECT_EQ(last<patch_finished>(handle_event(chain_tick{})).outcome.index(), 3U);
    // The head as it was before version 1.
    const auto poll =
        last<read_row>(handle_event(row_read{old_poll.operation, std::optional<platform::row>()}));
    handle_event(failed(poll.operation));
    EXPECT_FALSE(promises_outage());
}

TEST_F(configuration_chain, requires_evidence_before_activation) {
    handle_event(version_announced{base::config_version(4), "{}"});
    EXPECT_EQ(chain_.in_force(), nullptr);
    handle_event(peer_version{base::daemon_id("other"), base::config_version(4),
                              peer_evidence{now_, milliseconds(300)}});
    ASSERT_NE(chain_.in_force(), nullptr);
    EXPECT_EQ(chain_.in_force()->version, base::config_version(4));
    EXPECT_EQ(chain_.newest_at(), now_ - milliseconds(300));
}

TEST_F(configuration_chain, keeps_version_when_newer_is_unreadable) {
    begin_commit();
    const auto effects =
        handle_event(version_announced{base::config_version(4), R"({"teems":{}})"});
    EXPECT_EQ(last<version_unreadable>(effects).version, base::config_version(4));
    EXPECT_EQ(chain_.in_force()->version, base::config_version(0));
}

}  // namespace
