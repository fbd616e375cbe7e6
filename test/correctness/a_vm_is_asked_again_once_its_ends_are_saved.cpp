// A VM lists its ends until they are acknowledged, and answers at once while there are any. So the
// owner asks it again when they are durable, neither before nor much later, and after a while also
// when they are not: the store may be slow or away.
#include <cranberrydock/steward/vm_session.hpp>

#include "standins/silent_vms.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace {

using namespace cranberrydock;

class recorded_vm final : public standins::silent_vms {
public:
    void watch(const fleet::vm_facts& /*vm*/, fleet::fence /*owner*/,
               const fleet::watch_order& order, fleet::watch_done done) override {
        orders.push_back(order);
        answer = std::move(done);
    }

    std::vector<fleet::watch_order> orders;
    fleet::watch_done answer;  // of the last
};

class silent_listener final : public steward::session_listener {
public:
    void on_report(const fleet::vm_id& /*vm*/, const fleet::vm_report& /*report*/,
                   base::time_point /*asked*/) override {}
    void on_reachable(const fleet::vm_id& /*vm*/, bool /*reachable*/) override {}
    void on_lost(const fleet::vm_id& /*vm*/, const std::string& /*reason*/,
                 bool /*gone*/) override {}
    void on_ended(const fleet::vm_id& /*vm*/) override { ++ended; }
    void on_reborn(const fleet::vm_id& /*vm*/) override { ++reborn; }
    void on_higher_fence(const fleet::vm_id& /*vm*/) override {}
    fleet::end_number acknowledgeable(const fleet::vm_id& /*vm*/) override { return saved; }
    bool may_order() override { return true; }

    fleet::end_number saved;
    int ended = 0;
    int reborn = 0;
};

class session_of_a_vm : public testing::Test {
public:
    session_of_a_vm() {
        session.start();
        EXPECT_EQ(vm.orders.size(), 1U);
    }

    void list_one_end() {
        fleet::vm_report report;
        report.now = fleet::vm_time(1'000);
        report.boot = fleet::boot_time(7);
        report.ends.push_back(
            {fleet::end_number(1), {fleet::job_id("job"), 0, 0, 0}, fleet::run_number(1), {}, {}});
        vm.answer(report);
    }

    void run_for(base::duration time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    net::event_loop loop;
    recorded_vm vm;
    silent_listener listener;
    const steward::session_settings settings;
    steward::vm_session session{loop, vm, {}, fleet::fence(1), settings, listener};
};

TEST_F(session_of_a_vm, not_before_they_are_saved) {
    list_one_end();
    run_for(settings.unsaved_pause / 2);
    EXPECT_EQ(vm.orders.size(), 1U);
    listener.saved = fleet::end_number(1);
    // Looked at so often; a busy machine may be late.
    run_for(settings.ends_pause * 5);
    ASSERT_EQ(vm.orders.size(), 2U);
    EXPECT_EQ(vm.orders.back().acknowledged, fleet::end_number(1));
}

TEST_F(session_of_a_vm, after_a_while_in_any_case) {
    list_one_end();
    run_for(settings.unsaved_pause * 3);
    ASSERT_EQ(vm.orders.size(), 2U);
    EXPECT_EQ(vm.orders.back().acknowledged, fleet::end_number(0));
}

// It may have come back under its name, with ends of its own that nobody has read.
TEST_F(session_of_a_vm, a_vm_that_did_not_answer_is_told_to_forget_nothing) {
    list_one_end();
    listener.saved = fleet::end_number(1);
    run_for(settings.ends_pause * 5);
    ASSERT_EQ(vm.orders.size(), 2U);
    vm.answer(tl::make_unexpected(fleet::order_failure::answer_lost));
    run_for(settings.retry_pause * 2);
    ASSERT_EQ(vm.orders.size(), 3U);
    EXPECT_EQ(vm.orders.back().acknowledged, fleet::end_number(0));
}

// One refusal may be a listener that is just being set up, and silence tells nothing.
TEST_F(session_of_a_vm, a_vm_where_nothing_listens_has_ended) {
    list_one_end();
    const auto fail = [&](fleet::order_failure failure) {
        const auto asked = vm.orders.size();
        vm.answer(tl::make_unexpected(failure));
        run_for(settings.retry_pause * 2);
        ASSERT_EQ(vm.orders.size(), asked + 1);
    };
    run_for(settings.unsaved_pause * 2);
    fail(fleet::order_failure::answer_lost);
    fail(fleet::order_failure::answer_lost);
    fail(fleet::order_failure::nothing_listens);
    fail(fleet::order_failure::not_delivered);
    fail(fleet::order_failure::nothing_listens);
    EXPECT_EQ(listener.ended, 0);
    fail(fleet::order_failure::nothing_listens);
    EXPECT_EQ(listener.ended, 1);
    fail(fleet::order_failure::nothing_listens);
    EXPECT_EQ(listener.ended, 1);
}

// The address of a VM that has ended was given to another one, which says so each time: what ran on
// the first must not count as running for as long as that goes on.
TEST_F(session_of_a_vm, whose_address_another_one_has_ends_and_lapses_once) {
    list_one_end();
    run_for(settings.unsaved_pause * 2);
    const base::suspend_aware_clock clock;
    const auto first_told = clock.now();
    for (int i = 0; i < 4; ++i) {
        vm.answer(tl::make_unexpected(fleet::order_failure::other_incarnation));
        run_for(settings.retry_pause * 2);
    }
    EXPECT_EQ(listener.ended, 1);
    const base::milliseconds slow_clock_and_margin{500};
    EXPECT_TRUE(session.lapsed(first_told + settings.longest_lease + slow_clock_and_margin));
}

TEST_F(session_of_a_vm, a_new_incarnation_may_hold_the_longest_lease) {
    list_one_end();
    session.other_incarnation();
    EXPECT_EQ(listener.reborn, 1);
    const base::suspend_aware_clock clock;
    EXPECT_FALSE(session.lapsed(clock.now()));
    EXPECT_FALSE(session.lapsed(clock.now() + settings.longest_lease));
    EXPECT_TRUE(session.lapsed(clock.now() + settings.longest_lease * 2));
}

}  // namespace
