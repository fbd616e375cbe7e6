// When a daemon takes over the fleet, and when it must not: an owner that renews keeps the fleet,
// an unresponsive owner loses it, an outage of the store changes nothing, and a row that is free or
// whose holder has ended is taken at once.
#include <cranberrydock/fleet/ownership.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using fleet::ownership;

class fleet_ownership : public testing::Test {
public:
    static fleet::owner_record held_by(const std::string& holder, const std::string& run) {
        fleet::owner_record out;
        out.holder = holder;
        out.process_run = run;
        out.token = fleet::fencing_token(3);
        return out;
    }

    void read(const fleet::owner_record& record, int version) {
        // Encodes and decodes the record, as in a round trip through the store.
        daemon.row_read(fleet::decode_owner(fleet::encode_owner(record)),
                        fleet::store_version(version), now);
    }

    void pass(base::milliseconds time) { now += time; }

    fleet::ownership_settings settings;
    base::time_point now{std::chrono::seconds(50)};
    ownership daemon{"vm-1", "100", "10.0.0.1:1", settings};
};

TEST_F(fleet_ownership, is_not_taken_before_first_read) {
    pass(std::chrono::seconds(60));
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
}

TEST_F(fleet_ownership, stays_with_renewing_owner) {
    for (int version = 1; version < 20; ++version) {
        read(held_by("vm-2", "7"), version);
        pass(settings.renewal_interval);
        daemon.row_unchanged(now);
        EXPECT_EQ(daemon.next(now), ownership::step::none);
    }
}

TEST_F(fleet_ownership, is_taken_from_unresponsive_owner) {
    read(held_by("vm-2", "7"), 1);
    pass(settings.takeover_after + base::milliseconds(1));
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
    EXPECT_EQ(daemon.next_fencing_token(), fleet::fencing_token(4));
    EXPECT_FALSE(daemon.previous_owner_ended());
}

// A row that can't be read was taken for a free one, whose last owner has ended.
TEST_F(fleet_ownership, is_taken_from_unknown_owner_like_from_unresponsive_one) {
    read(held_by("vm-2", "7"), 1);
    daemon.holder_ended("7");
    daemon.row_read(fleet::unknown_owner(daemon.record()), fleet::store_version(2), now);
    pass(settings.renewal_interval);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    pass(settings.takeover_after);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
    EXPECT_FALSE(daemon.previous_owner_ended());
    EXPECT_FALSE(daemon.record().earlier_owners_ended);
    EXPECT_EQ(daemon.next_fencing_token(), fleet::fencing_token(4));
}

TEST_F(fleet_ownership, store_outage_does_not_count) {
    read(held_by("vm-2", "7"), 1);
    pass(settings.takeover_after);
    daemon.store_unreadable();
    pass(settings.takeover_after);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    pass(settings.takeover_after);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
}

TEST_F(fleet_ownership, time_between_reads_counts_up_to_limit) {
    read(held_by("vm-2", "7"), 1);
    daemon.holder_unresponsive("7");
    pass(settings.max_read_gap);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    daemon.row_unchanged(now);
    pass(settings.takeover_after_unresponsive - settings.max_read_gap);
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);

    ownership disconnected("vm-1", "100", "10.0.0.1:1", settings);
    disconnected.row_read(held_by("vm-2", "7"), fleet::store_version(1), now);
    disconnected.holder_unresponsive("7");
    pass(std::chrono::seconds(60));
    EXPECT_EQ(disconnected.next(now), ownership::step::none);
}

TEST_F(fleet_ownership, free_or_own_row_is_taken_at_once) {
    read(held_by("", "7"), 1);
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
    EXPECT_TRUE(daemon.previous_owner_ended());

    ownership restarted("vm-1", "101", "10.0.0.1:1", settings);
    auto predecessor = held_by("vm-1", "100");
    predecessor.address = "10.0.0.1:1";
    restarted.row_read(fleet::decode_owner(fleet::encode_owner(predecessor)),
                       fleet::store_version(1), now);
    EXPECT_EQ(restarted.next(now), ownership::step::acquire);
    EXPECT_TRUE(restarted.previous_owner_ended());
}

// Its process may go on beside this one unless this one listens in its place.
TEST_F(fleet_ownership, own_predecessor_at_another_address_may_not_have_ended) {
    for (const char* const address : {"10.0.0.1:2", ""}) {
        ownership restarted("vm-1", "101", "10.0.0.1:1", settings);
        auto predecessor = held_by("vm-1", "100");
        predecessor.address = address;
        restarted.row_read(predecessor, fleet::store_version(1), now);
        EXPECT_EQ(restarted.next(now), ownership::step::acquire);
        EXPECT_FALSE(restarted.previous_owner_ended());
    }
}

TEST_F(fleet_ownership, refused_connections_do_not_prove_owner_ended) {
    read(held_by("vm-2", "7"), 1);
    daemon.holder_refused("7");
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    pass(settings.takeover_after_refusal);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
    EXPECT_FALSE(daemon.previous_owner_ended());
}

TEST_F(fleet_ownership, answer_after_refused_connection_clears_the_refusal) {
    read(held_by("vm-2", "7"), 1);
    daemon.holder_refused("7");
    daemon.holder_responsive("7");
    pass(settings.takeover_after_refusal);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    daemon.holder_refused("7");
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
}

TEST_F(fleet_ownership, unreachable_owner_is_replaced_sooner) {
    read(held_by("vm-2", "7"), 1);
    daemon.holder_unresponsive("6");  // an earlier run
    pass(settings.takeover_after_unresponsive);
    daemon.row_unchanged(now);
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    daemon.holder_unresponsive("7");
    daemon.holder_responsive("7");
    EXPECT_EQ(daemon.next(now), ownership::step::none);
    daemon.holder_unresponsive("7");
    EXPECT_EQ(daemon.next(now), ownership::step::acquire);
    EXPECT_FALSE(daemon.previous_owner_ended());
}

TEST_F(fleet_ownership, becomes_invalid_when_renewals_fail) {
    read(held_by("", ""), 1);
    ASSERT_EQ(daemon.next(now), ownership::step::acquire);
    auto own_record = held_by("vm-1", "100");
    daemon.written(fleet::store_version(2), own_record, now);
    EXPECT_TRUE(daemon.may_issue_commands(now));
    pass(settings.validity);
    EXPECT_FALSE(daemon.may_issue_commands(now));
    EXPECT_TRUE(daemon.owns());
}

TEST_F(fleet_ownership, is_gained_despite_lost_answer) {
    read(held_by("", ""), 1);
    ASSERT_EQ(daemon.next(now), ownership::step::acquire);
    daemon.failed(now);
    pass(base::milliseconds(50));
    read(held_by("vm-1", "100"), 2);
    EXPECT_TRUE(daemon.owns());
    EXPECT_TRUE(daemon.may_issue_commands(now));
}

// The row holds the first write; the second one, sent much later, was not applied.
TEST_F(fleet_ownership, gained_by_unanswered_write_is_valid_from_when_that_was_sent) {
    read(held_by("", ""), 1);
    ASSERT_EQ(daemon.next(now), ownership::step::acquire);
    const auto first_sent = now;
    pass(std::chrono::seconds(2));
    daemon.failed(now);
    daemon.row_unchanged(now);
    pass(base::milliseconds(200));
    ASSERT_EQ(daemon.next(now), ownership::step::acquire);
    pass(base::milliseconds(50));
    daemon.failed(now);
    read(held_by("vm-1", "100"), 2);
    EXPECT_TRUE(daemon.owns());
    EXPECT_EQ(daemon.last_renewal_sent(), first_sent);
    EXPECT_FALSE(daemon.may_issue_commands(first_sent + settings.validity));
}

// The answer to the first renewal is lost, and so is the row's version that it made.
TEST_F(fleet_ownership, lost_renewals_do_not_extend_validity) {
    read(held_by("", ""), 1);
    ASSERT_EQ(daemon.next(now), ownership::step::acquire);
    daemon.written(fleet::store_version(2), held_by("vm-1", "100"), now);
    const auto confirmed = now;
    for (int i = 0; i < 3; ++i) {
        pass(settings.renewal_interval);
        ASSERT_EQ(daemon.next(now), ownership::step::renew);
        daemon.failed(now);
    }
    read(held_by("vm-2", "7"), 3);
    EXPECT_FALSE(daemon.owns());
    EXPECT_EQ(daemon.last_renewal_sent(), confirmed);
}

TEST_F(fleet_ownership, ends_when_another_owner_is_read) {
    read(held_by("", ""), 1);
    ASSERT_EQ(daemon.next(now), ownership::step::acquire);
    daemon.written(fleet::store_version(2), held_by("vm-1", "100"), now);
    read(held_by("vm-2", "9"), 3);
    EXPECT_FALSE(daemon.owns());
    EXPECT_FALSE(daemon.may_issue_commands(now));
}

TEST_F(fleet_ownership, is_not_taken_by_stopping_daemon) {
    read(held_by("", ""), 1);
    daemon.retire();
    EXPECT_EQ(daemon.next(now), ownership::step::none);
}

}  // namespace
