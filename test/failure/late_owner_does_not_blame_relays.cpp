// The owner's process is short of processor time, so commands are sent late and answers are read
// late. Relays are not avoided for that, and no command fails. A relay that is at fault costs the
// VMs behind it no failed watch.
#include <cranberrydock/fleet_daemon/listening_clock.hpp>

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
constexpr base::milliseconds turn{10};  // between two times in which the loop is blocked

class late_owner : public testing::Test {
protected:
    late_owner() {
        fleet_.start_on_all_vms();
        fleet_.run_for(delivery_time);
        EXPECT_EQ(fleet_.success_count(), vm_count);
        fleet_.answers.clear();
        fleet_.relayed_vms_backend.received_starts.clear();
    }

    // Blocks the event loop `times` times, with a turn of the loop in between.
    void block_loop(base::milliseconds delay, base::milliseconds duration, int times) {
        blocking_ = fleet_.loop.after(delay, [this, duration, times] {
            std::this_thread::sleep_for(duration);
            // In the next turn, since the loop's timers count from the start of a turn.
            blocking_ = fleet_.loop.after(base::duration{0}, [this, duration, times] {
                if (times > 1) {
                    block_loop(turn, duration, times - 1);
                }
            });
        });
    }

    void watch_all_vms() {
        for (std::size_t i = 0; i < vm_count; ++i) {
            fleet::watch_command order;
            order.lease_until = fleet::vm_time(1'000);
            order.acknowledged = fleet::completion_number(9);
            fleet_.owner.watch(fleet_.vm(i), fleet::fencing_token(7), order,
                               [this](const auto& answer) { reports_ += answer ? 1U : 0U; });
        }
    }

    std::uint64_t avoided(const std::string& reason) const {
        return fleet_.metrics.value("cranberrydock_relays_avoided_total",
                                    "reason=\"" + reason + "\"");
    }

    void expect_each_started_once() const {
        std::map<int, int> starts;
        for (const auto& it : fleet_.relayed_vms_backend.received_starts) {
            ++starts[it.order.task.index];
        }
        EXPECT_EQ(starts.size(), vm_count);
        for (const auto& it : starts) {
            EXPECT_EQ(it.second, 1) << "task " << it.first;
        }
        EXPECT_TRUE(fleet_.direct_vms.received_starts.empty());
    }

    relayed_fleet fleet_{vm_count};
    std::size_t reports_ = 0;

private:
    std::unique_ptr<net::timer> blocking_;
};

// The batches leave the owner after their lifetime, so the relays report them as expired.
TEST_F(late_owner, sends_expired_commands_again_over_the_same_relay) {
    constexpr base::milliseconds transit{250};
    constexpr base::milliseconds blocked_for{500};
    fleet_.first_relay->pause_time = transit;
    fleet_.second_relay->pause_time = transit;
    block_loop(transit - base::milliseconds{50}, blocked_for, 1);
    fleet_.start_on_all_vms();
    fleet_.run_for(after_every_timeout);
    EXPECT_EQ(fleet_.success_count(), vm_count);
    expect_each_started_once();
    EXPECT_EQ(avoided("late"), 0U);
    EXPECT_EQ(avoided("slow"), 0U);
}

// Each step of an exchange waits for a turn of the owner's loop.
TEST_F(late_owner, does_not_count_its_own_lateness_as_slow_answers) {
    constexpr base::milliseconds transit{300};
    constexpr base::milliseconds blocked_for{400};
    constexpr int blocked_turns = 4;
    for (const auto& it : {fleet_.first_relay, fleet_.second_relay}) {
        it->pause_time = transit;
        it->answer_transit_time = transit;
    }
    block_loop(base::milliseconds{100}, blocked_for, blocked_turns);
    fleet_.start_on_all_vms();
    watch_all_vms();
    fleet_.run_for(after_every_timeout);
    EXPECT_EQ(fleet_.success_count(), vm_count);
    EXPECT_EQ(reports_, vm_count);
    expect_each_started_once();
    EXPECT_EQ(avoided("silent") + avoided("slow") + avoided("late"), 0U);
}

// One relay at fault made all VMs behind it unreachable.
TEST_F(late_owner, watches_of_avoided_relay_are_repeated_over_another_one) {
    fleet_.first_relay->loses_answers = true;
    watch_all_vms();
    fleet_.start_on_all_vms();
    fleet_.run_for(after_every_timeout);
    EXPECT_EQ(reports_, vm_count);
    // The VM may have restarted in between, so a repeated watch acknowledges and extends nothing.
    std::size_t repeated = 0;
    for (const auto& it : fleet_.relayed_vms_backend.received_watches) {
        const bool is_poll = it.order.acknowledged == fleet::completion_number(0);
        EXPECT_EQ(is_poll, it.order.lease_until == fleet::vm_time(0));
        repeated += is_poll ? 1 : 0;
    }
    EXPECT_GT(repeated, 0U);
    EXPECT_EQ(fleet_.relayed_vms_backend.received_watches.size(), vm_count + repeated);
    // Starts may have been carried out and are not repeated.
    EXPECT_GT(fleet_.failure_count(fleet::command_failure::answer_lost), 0U);
    expect_each_started_once();
}

TEST(listening_clock, excludes_lateness_of_its_timer) {
    using std::chrono::milliseconds;
    const base::time_point start{milliseconds(5'000)};
    fleet_daemon::listening_clock clock{milliseconds(100)};
    clock.restart(start);
    const auto before = clock.listened(start);
    EXPECT_EQ(clock.listened(start + milliseconds(60)) - before, milliseconds(60));
    EXPECT_EQ(clock.listened(start + milliseconds(900)) - before, milliseconds(100));
    EXPECT_EQ(clock.late(start + milliseconds(900)), milliseconds(800));
    clock.tick(start + milliseconds(900));
    EXPECT_EQ(clock.listened(start + milliseconds(950)) - before, milliseconds(150));
    EXPECT_EQ(clock.late(start + milliseconds(950)), milliseconds(800));
}

}  // namespace
