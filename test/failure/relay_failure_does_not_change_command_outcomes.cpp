// Relays end, become unresponsive, restart or are suspended. Each command is carried out once, or
// the owner learns that it may not have been carried out. No command is carried out long after it
// was issued.
#include "standins/relayed_fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::size_t vm_count = 500;
constexpr base::milliseconds delivery_time{300};
constexpr base::milliseconds after_every_timeout{3'000};

// How often each task was started, through relays and directly, by task index.
std::map<int, int> start_counts(const relayed_fleet& fleet) {
    std::map<int, int> out;
    for (const auto* vm_control : {&fleet.relayed_vms_backend, &fleet.direct_vms}) {
        for (const auto& it : vm_control->received_starts) {
            ++out[it.order.task.index];
        }
    }
    return out;
}

void expect_each_started_once(const relayed_fleet& fleet) {
    const auto starts = start_counts(fleet);
    EXPECT_EQ(starts.size(), vm_count);
    for (const auto& it : starts) {
        EXPECT_EQ(it.second, 1) << "task " << it.first;
    }
}

TEST(relay, ended_relay_is_replaced_by_second) {
    relayed_fleet fleet(vm_count);
    fleet.first_relay->refuses = true;
    fleet.start_on_all_vms();
    fleet.run_for(delivery_time);
    EXPECT_EQ(fleet.success_count(), vm_count);
    expect_each_started_once(fleet);
    EXPECT_TRUE(fleet.direct_vms.received_starts.empty());
}

TEST(relay, commands_are_sent_directly_without_relays) {
    relayed_fleet fleet(vm_count);
    fleet.first_relay->refuses = true;
    fleet.second_relay->refuses = true;
    fleet.start_on_all_vms();
    fleet.run_for(delivery_time);
    EXPECT_EQ(fleet.success_count(), vm_count);
    EXPECT_EQ(fleet.direct_vms.received_starts.size(), vm_count);
}

TEST(relay, lost_answers_are_reported_as_lost) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    fleet.run_for(delivery_time);
    ASSERT_EQ(fleet.success_count(), vm_count);
    fleet.answers.clear();
    fleet.first_relay->loses_answers = true;
    fleet.start_on_all_vms();
    fleet.run_for(after_every_timeout);
    EXPECT_EQ(fleet.answers.size(), vm_count);
    const auto lost_count = fleet.failure_count(fleet::command_failure::answer_lost);
    EXPECT_GT(lost_count, 0U);
    EXPECT_EQ(fleet.success_count() + lost_count, vm_count);
}

// A relay does not pass on commands that it reads too late. The owner uses another path or reports
// the failure.
TEST(relay, paused_relay_drops_expired_commands) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    fleet.run_for(delivery_time);
    ASSERT_EQ(fleet.success_count(), vm_count);
    fleet.answers.clear();
    fleet.relayed_vms_backend.received_starts.clear();
    fleet.first_relay->pause_time = fleet.settings.command_lifetime + base::milliseconds{100};
    fleet.second_relay->pause_time = fleet.first_relay->pause_time;
    fleet.start_on_all_vms();
    fleet.run_for(after_every_timeout);
    EXPECT_TRUE(fleet.relayed_vms_backend.received_starts.empty());
    EXPECT_EQ(fleet.answers.size(), vm_count);
}

TEST(relay, restarted_relay_does_not_repeat_commands) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    fleet.run_for(delivery_time);
    ASSERT_EQ(fleet.success_count(), vm_count);
    fleet.answers.clear();
    fleet.relayed_vms_backend.received_starts.clear();
    fleet.first_relay->restart();
    fleet.start_on_all_vms();
    fleet.run_for(after_every_timeout);
    EXPECT_EQ(fleet.answers.size(), vm_count);
    EXPECT_EQ(fleet.success_count() + fleet.failure_count(fleet::command_failure::answer_lost),
              vm_count);
    expect_each_started_once(fleet);
}

// An owner that was suspended with queued commands does not send them after it resumes.
TEST(relay, paused_owner_does_not_send_expired_commands) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    std::this_thread::sleep_for(fleet.settings.command_lifetime + base::milliseconds{100});
    fleet.run_for(after_every_timeout);
    EXPECT_TRUE(start_counts(fleet).empty());
    EXPECT_EQ(fleet.failure_count(fleet::command_failure::not_delivered), vm_count);
}

// A queued command is sent only while this daemon may issue commands.
TEST(relay, queued_commands_are_not_sent_without_permission) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    fleet.permission.allowed = false;
    fleet.run_for(delivery_time);
    EXPECT_TRUE(start_counts(fleet).empty());
    fleet.run_for(after_every_timeout);
    fleet.permission.allowed = true;
    fleet.run_for(delivery_time);
    EXPECT_TRUE(start_counts(fleet).empty());
    EXPECT_EQ(fleet.failure_count(fleet::command_failure::not_delivered), vm_count);
}

// Guards against tasks of a cancelled job that start too late (UNASKED): the relay may take as long
// as a command's lifetime to pass a start on.
TEST(relay, start_that_may_arrive_too_late_is_not_sent) {
    relayed_fleet fleet(vm_count);
    const base::suspend_aware_clock clock;
    const base::milliseconds time_in_queue{400};
    constexpr int late = 0;
    constexpr int in_time = 1;
    for (const int it : {late, in_time}) {
        fleet::start_command order;
        order.task = {fleet::job_id("job"), 0, 0, it};
        order.run = fleet::run_number(1);
        order.not_after = clock.now() + fleet.settings.command_lifetime +
                          (it == late ? time_in_queue / 2 : time_in_queue * 5);
        fleet.owner.start(fleet.vm(0), fleet::fencing_token(7), order,
                          [&fleet](const auto& answer) { fleet.answers.push_back(answer); });
    }
    fleet.permission.allowed = false;
    fleet.run_for(time_in_queue);
    fleet.permission.allowed = true;
    fleet.run_for(delivery_time);
    EXPECT_EQ(start_counts(fleet), (std::map<int, int>{{in_time, 1}}));
    EXPECT_EQ(fleet.failure_count(fleet::command_failure::not_delivered), 1U);
}

// A daemon that no longer owns the fleet issues no commands.
TEST(relay, previous_owner_sends_no_commands) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    fleet.owner.drop_queued_commands();
    fleet.run_for(delivery_time);
    EXPECT_TRUE(start_counts(fleet).empty());
}

// A stopping daemon leaves the candidate list, and still reports the outcomes of the commands that
// it has accepted.
TEST(relay, stopping_relay_reports_outcomes_of_accepted_commands) {
    relayed_fleet fleet(vm_count);
    fleet.start_on_all_vms();
    constexpr base::milliseconds handover_time{8};
    fleet.run_for(handover_time);
    fleet.owner.set_candidates({});
    fleet.run_for(after_every_timeout);
    EXPECT_EQ(fleet.success_count(), vm_count);
    expect_each_started_once(fleet);
}

}  // namespace
