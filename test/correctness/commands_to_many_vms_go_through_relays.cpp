// The owner of many VMs passes its commands to relays in few calls and receives each outcome.
// Commands to the VMs of a small fleet, or of a zone without a relay, are sent directly.
#include "standins/relayed_fleet.hpp"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::size_t large_fleet_size = 1'000;
constexpr base::milliseconds settle_time{300};

TEST(relayed_commands, use_few_calls) {
    relayed_fleet fleet(large_fleet_size);
    fleet.start_on_all_vms();
    fleet.run_for(settle_time);
    EXPECT_EQ(fleet.success_count(), large_fleet_size);
    EXPECT_EQ(fleet.relayed_vms_backend.received_starts.size(), large_fleet_size);
    EXPECT_TRUE(fleet.direct_vms.received_starts.empty());
    EXPECT_LT(fleet.first_relay->exchange_count + fleet.second_relay->exchange_count,
              static_cast<int>(large_fleet_size) / 10);
    // Both relays carry a share of the commands.
    EXPECT_GT(fleet.first_relay->exchange_count, 0);
    EXPECT_GT(fleet.second_relay->exchange_count, 0);
}

TEST(relayed_commands, arrive_unchanged) {
    relayed_fleet fleet(large_fleet_size);
    fleet.start_on_all_vms();
    fleet.run_for(settle_time);
    std::set<int> indexes;
    for (const auto& it : fleet.relayed_vms_backend.received_starts) {
        EXPECT_EQ(it.owner, fleet::fencing_token(7));
        EXPECT_EQ(it.order.payload, "payload");
        EXPECT_EQ(it.vm, fleet.vm(static_cast<std::size_t>(it.order.task.index)).id);
        indexes.insert(it.order.task.index);
    }
    EXPECT_EQ(indexes.size(), large_fleet_size);
}

TEST(relayed_commands, return_reports_and_refusals) {
    relayed_fleet fleet(large_fleet_size);
    fleet.relayed_vms_backend.report.running.push_back(
        {{fleet::job_id("job"), 0, 1, 2}, fleet::run_number(3), fleet::checkpoint("c"), 40});
    std::optional<fleet::vm_report> report;
    fleet::watch_command watch;
    watch.acknowledged = fleet::completion_number(9);
    fleet.owner.watch(fleet.vm(1), fleet::fencing_token(7), watch,
                      [&](const auto& answer) { report = *answer; });
    std::optional<fleet::command_failure> refusal;
    fleet.owner.stop(fleet.vm(1), fleet::fencing_token(7), {}, {},
                     [&](const auto& answer) { refusal = answer.error(); });
    fleet.run_for(settle_time);
    ASSERT_TRUE(report.has_value());
    ASSERT_EQ(report->running.size(), 1U);
    EXPECT_EQ(report->running.front().percent, 40);
    ASSERT_EQ(fleet.relayed_vms_backend.received_watches.size(), 1U);
    EXPECT_EQ(fleet.relayed_vms_backend.received_watches.front().order.acknowledged,
              fleet::completion_number(9));
    EXPECT_EQ(refusal, fleet::command_failure::superseded);
}

TEST(relayed_commands, small_fleet_is_contacted_directly) {
    constexpr std::size_t small_fleet_size = 48;
    relayed_fleet fleet(small_fleet_size);
    fleet.start_on_all_vms();
    fleet.run_for(settle_time);
    EXPECT_EQ(fleet.success_count(), small_fleet_size);
    EXPECT_EQ(fleet.direct_vms.received_starts.size(), small_fleet_size);
    EXPECT_EQ(fleet.first_relay->exchange_count + fleet.second_relay->exchange_count, 0);
}

TEST(relayed_commands, zone_without_daemon_is_contacted_directly) {
    relayed_fleet fleet(large_fleet_size);
    fleet.start_on_all_vms("far");
    fleet.run_for(settle_time);
    EXPECT_EQ(fleet.success_count(), large_fleet_size);
    EXPECT_EQ(fleet.direct_vms.received_starts.size(), large_fleet_size);
}

TEST(relayed_commands, idle_relays_make_no_exchanges) {
    relayed_fleet fleet(large_fleet_size);
    fleet.start_on_all_vms();
    fleet.run_for(settle_time);
    const int before = fleet.first_relay->exchange_count + fleet.second_relay->exchange_count;
    fleet.run_for(settle_time * 2);
    EXPECT_LE(fleet.first_relay->exchange_count + fleet.second_relay->exchange_count, before + 2);
}

}  // namespace
