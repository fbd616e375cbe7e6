// Relays that end, fall silent, restart or are paused: each order is carried out once or its owner
// is told that it may not have been; and none is carried out long after it was given.
#include "standins/relayed_fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::size_t vms = 500;
constexpr base::milliseconds soon{300};
constexpr base::milliseconds after_every_timeout{3'000};

// How often the tasks were started, over all ways.
std::map<int, int> starts_of(const relayed_fleet& fleet) {
    std::map<int, int> out;
    for (const auto* ways : {&fleet.through_relays, &fleet.direct}) {
        for (const auto& it : ways->started) {
            ++out[it.order.task.index];
        }
    }
    return out;
}

void expect_each_started_once(const relayed_fleet& fleet) {
    const auto starts = starts_of(fleet);
    EXPECT_EQ(starts.size(), vms);
    for (const auto& it : starts) {
        EXPECT_EQ(it.second, 1) << "task " << it.first;
    }
}

TEST(relay, that_has_ended_is_replaced_by_another) {
    relayed_fleet fleet(vms);
    fleet.first->ended = true;
    fleet.start_on_all();
    fleet.run_for(soon);
    EXPECT_EQ(fleet.carried_out(), vms);
    expect_each_started_once(fleet);
    EXPECT_TRUE(fleet.direct.started.empty());
}

TEST(relay, needs_no_other_to_be_replaced) {
    relayed_fleet fleet(vms);
    fleet.first->ended = true;
    fleet.second->ended = true;
    fleet.start_on_all();
    fleet.run_for(soon);
    EXPECT_EQ(fleet.carried_out(), vms);
    EXPECT_EQ(fleet.direct.started.size(), vms);
}

TEST(relay, whose_answers_are_lost_leaves_open_what_was_done) {
    relayed_fleet fleet(vms);
    fleet.start_on_all();
    fleet.run_for(soon);
    ASSERT_EQ(fleet.carried_out(), vms);
    fleet.answers.clear();
    fleet.first->loses_answers = true;
    fleet.start_on_all();
    fleet.run_for(after_every_timeout);
    EXPECT_EQ(fleet.answers.size(), vms);
    const auto lost = fleet.answered_with(fleet::order_failure::answer_lost);
    EXPECT_GT(lost, 0U);
    EXPECT_EQ(fleet.carried_out() + lost, vms);
}

// Orders that it reads too late are not passed on; the owner finds another way, or says so.
TEST(relay, that_was_paused_carries_out_nothing_old) {
    relayed_fleet fleet(vms);
    fleet.start_on_all();
    fleet.run_for(soon);
    ASSERT_EQ(fleet.carried_out(), vms);
    fleet.answers.clear();
    fleet.through_relays.started.clear();
    fleet.first->paused_for = fleet.settings.order_life + base::milliseconds{100};
    fleet.second->paused_for = fleet.first->paused_for;
    fleet.start_on_all();
    fleet.run_for(after_every_timeout);
    EXPECT_TRUE(fleet.through_relays.started.empty());
    EXPECT_EQ(fleet.answers.size(), vms);
}

TEST(relay, that_restarts_is_not_asked_for_what_its_last_run_was_handed) {
    relayed_fleet fleet(vms);
    fleet.start_on_all();
    fleet.run_for(soon);
    ASSERT_EQ(fleet.carried_out(), vms);
    fleet.answers.clear();
    fleet.through_relays.started.clear();
    fleet.first->restart();
    fleet.start_on_all();
    fleet.run_for(after_every_timeout);
    EXPECT_EQ(fleet.answers.size(), vms);
    EXPECT_EQ(fleet.carried_out() + fleet.answered_with(fleet::order_failure::answer_lost), vms);
    expect_each_started_once(fleet);
}

// An owner that was paused with orders on hand does not send them when it goes on.
TEST(relay, is_sent_nothing_old) {
    relayed_fleet fleet(vms);
    fleet.start_on_all();
    std::this_thread::sleep_for(fleet.settings.order_life + base::milliseconds{100});
    fleet.run_for(after_every_timeout);
    EXPECT_TRUE(starts_of(fleet).empty());
    EXPECT_EQ(fleet.answered_with(fleet::order_failure::not_delivered), vms);
}

// A daemon that does not own the fleet any more gives no orders.
TEST(relay, is_sent_nothing_by_a_former_owner) {
    relayed_fleet fleet(vms);
    fleet.start_on_all();
    fleet.owner.drop_waiting();
    fleet.run_for(soon);
    EXPECT_TRUE(starts_of(fleet).empty());
}

// A daemon that stops leaves the list, and still tells what it was handed.
TEST(relay, that_stops_tells_the_outcomes_of_what_it_has) {
    relayed_fleet fleet(vms);
    fleet.start_on_all();
    constexpr base::milliseconds until_handed_over{8};
    fleet.run_for(until_handed_over);
    fleet.owner.set_candidates({});
    fleet.run_for(after_every_timeout);
    EXPECT_EQ(fleet.carried_out(), vms);
    expect_each_started_once(fleet);
}

}  // namespace
