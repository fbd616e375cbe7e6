// When a daemon takes the fleet over, and when it may not: an owner that renews keeps it, one that
// falls silent loses it, an outage of the store changes nothing, a row that is free or whose holder
// has ended is taken at once.
#include <cranberrydock/fleet/ownership.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using fleet::ownership;

class follower : public testing::Test {
public:
    static fleet::owner_record held_by(const std::string& holder, const std::string& run) {
        fleet::owner_record out;
        out.holder = holder;
        out.run = run;
        out.owner = fleet::fence(3);
        return out;
    }

    void read(const fleet::owner_record& record, int version) {
        // As the store gives it back.
        one.row_read(fleet::decode_owner(fleet::encode_owner(record)),
                     fleet::store_version(version), now);
    }

    void pass(base::milliseconds time) { now += time; }

    fleet::ownership_settings settings;
    base::time_point now{std::chrono::seconds(50)};
    ownership one{"vm-1", "100", settings};
};

TEST_F(follower, takes_nothing_before_it_has_read_the_row) {
    pass(std::chrono::seconds(60));
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::nothing);
}

TEST_F(follower, leaves_an_owner_that_renews) {
    for (int version = 1; version < 20; ++version) {
        read(held_by("vm-2", "7"), version);
        pass(settings.renew_every);
        one.row_unchanged(now);
        EXPECT_EQ(one.next(now), ownership::step::nothing);
    }
}

TEST_F(follower, takes_over_from_an_owner_that_is_silent) {
    read(held_by("vm-2", "7"), 1);
    pass(settings.takeover_after + base::milliseconds(1));
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::acquire);
    EXPECT_EQ(one.next_fence(), fleet::fence(4));
    EXPECT_FALSE(one.earlier_owner_ended());
}

TEST_F(follower, does_not_count_an_outage_of_the_store) {
    read(held_by("vm-2", "7"), 1);
    pass(settings.takeover_after);
    one.store_unreadable();
    pass(settings.takeover_after);
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::nothing);
    pass(settings.takeover_after);
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::acquire);
}

TEST_F(follower, counts_the_time_between_two_readings_up_to_a_limit) {
    read(held_by("vm-2", "7"), 1);
    one.holder_silent("7");
    pass(settings.between_readings);
    EXPECT_EQ(one.next(now), ownership::step::nothing);
    one.row_unchanged(now);
    pass(settings.takeover_of_silent_after - settings.between_readings);
    EXPECT_EQ(one.next(now), ownership::step::acquire);

    ownership cut_off("vm-1", "100", settings);
    cut_off.row_read(held_by("vm-2", "7"), fleet::store_version(1), now);
    cut_off.holder_silent("7");
    pass(std::chrono::seconds(60));
    EXPECT_EQ(cut_off.next(now), ownership::step::nothing);
}

TEST_F(follower, takes_a_free_row_and_its_own_earlier_runs_at_once) {
    read(held_by("", "7"), 1);
    EXPECT_EQ(one.next(now), ownership::step::acquire);
    EXPECT_TRUE(one.earlier_owner_ended());

    ownership again("vm-1", "101", settings);
    again.row_read(held_by("vm-1", "100"), fleet::store_version(1), now);
    EXPECT_EQ(again.next(now), ownership::step::acquire);
    EXPECT_TRUE(again.earlier_owner_ended());
}

TEST_F(follower, refused_connections_alone_do_not_prove_an_end) {
    read(held_by("vm-2", "7"), 1);
    one.holder_refused("7");
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::nothing);
    pass(settings.takeover_of_refusing_after);
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::acquire);
    EXPECT_FALSE(one.earlier_owner_ended());
}

TEST_F(follower, an_owner_that_answers_nobody_is_replaced_sooner) {
    read(held_by("vm-2", "7"), 1);
    one.holder_silent("6");  // an earlier run
    pass(settings.takeover_of_silent_after);
    one.row_unchanged(now);
    EXPECT_EQ(one.next(now), ownership::step::nothing);
    one.holder_silent("7");
    one.holder_answers("7");
    EXPECT_EQ(one.next(now), ownership::step::nothing);
    one.holder_silent("7");
    EXPECT_EQ(one.next(now), ownership::step::acquire);
    EXPECT_FALSE(one.earlier_owner_ended());
}

TEST_F(follower, an_owner_stops_when_its_renewals_fail) {
    read(held_by("", ""), 1);
    ASSERT_EQ(one.next(now), ownership::step::acquire);
    auto mine = held_by("vm-1", "100");
    one.written(fleet::store_version(2), mine, now);
    EXPECT_TRUE(one.valid(now));
    pass(settings.valid_for);
    EXPECT_FALSE(one.valid(now));
    EXPECT_TRUE(one.owns());
}

TEST_F(follower, a_lost_answer_still_makes_it_the_owner) {
    read(held_by("", ""), 1);
    ASSERT_EQ(one.next(now), ownership::step::acquire);
    one.failed(true, now);
    pass(base::milliseconds(50));
    read(held_by("vm-1", "100"), 2);
    EXPECT_TRUE(one.owns());
    EXPECT_TRUE(one.valid(now));
}

TEST_F(follower, gives_way_to_another_owner) {
    read(held_by("", ""), 1);
    ASSERT_EQ(one.next(now), ownership::step::acquire);
    one.written(fleet::store_version(2), held_by("vm-1", "100"), now);
    read(held_by("vm-2", "9"), 3);
    EXPECT_FALSE(one.owns());
    EXPECT_FALSE(one.valid(now));
}

TEST_F(follower, a_stopping_daemon_takes_nothing) {
    read(held_by("", ""), 1);
    one.retire();
    EXPECT_EQ(one.next(now), ownership::step::nothing);
}

}  // namespace
