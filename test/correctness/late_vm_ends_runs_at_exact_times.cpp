// The times at which the stand-in of a VM ends runs, by which the soak measures how close a task's
// restart is to the end of its earlier run.
#include "standins/fleet_vm.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr fleet::fencing_token owner(1);
constexpr base::milliseconds stop_time{100};
constexpr base::milliseconds lease{500};
const fleet::task_ref task{fleet::job_id("0000000000000001"), 0, 0, 0};

class late_vm : public testing::Test {
public:
    late_vm()
        : vm(
              {}, [this](const auto& /*task*/, const auto& /*run*/) { return behavior; }, stop_time,
              [this](const auto& end) { ends.push_back(end); }) {}

    void start_run(base::milliseconds run_time) {
        behavior.run_time = run_time;
        fleet::start_command order;
        order.task = task;
        order.run = fleet::run_number(1);
        order.lease_until = after(lease);
        ASSERT_TRUE(vm.start(owner, order));
    }

    fleet::vm_time after(base::milliseconds time) const {
        return fleet::vm_time(started.value() + time.count());
    }

    void expect_end(fleet::completion_kind kind, base::milliseconds time) const {
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_EQ(ends.front().kind, kind);
        EXPECT_EQ(ends.front().at, after(time));
    }

    task_behavior behavior;
    std::vector<fleet_vm::run_end> ends;
    fleet_vm vm;
    const fleet::vm_time started = vm.now();
};

TEST_F(late_vm, reports_end_of_lapsed_run_at_end_of_stop_time) {
    start_run(base::milliseconds(10'000));
    vm.advance(base::milliseconds(2'000));
    expect_end(fleet::completion_kind::lease_expired, lease + stop_time);
}

TEST_F(late_vm, reports_end_of_completed_run_when_its_time_was_over) {
    start_run(base::milliseconds(300));
    vm.advance(base::milliseconds(450));
    expect_end(fleet::completion_kind::done, base::milliseconds(300));
}

TEST_F(late_vm, ends_lapsed_run_when_it_is_no_longer_held_up) {
    start_run(base::milliseconds(10'000));
    vm.advance(base::milliseconds(550));
    vm.pause(base::milliseconds(200));
    vm.advance(base::milliseconds(199));
    EXPECT_EQ(vm.running().size(), 1U);
    EXPECT_TRUE(ends.empty());
    vm.advance(base::milliseconds(500));
    expect_end(fleet::completion_kind::lease_expired, base::milliseconds(750));
}

TEST_F(late_vm, is_not_held_up_longer_by_another_delay) {
    start_run(base::milliseconds(10'000));
    vm.advance(base::milliseconds(550));
    vm.pause(base::milliseconds(200));
    vm.advance(base::milliseconds(150));
    vm.pause(base::milliseconds(200));
    vm.advance(base::milliseconds(500));
    expect_end(fleet::completion_kind::lease_expired, base::milliseconds(750));
}

TEST_F(late_vm, reports_end_of_runs_when_it_restarts) {
    start_run(base::milliseconds(10'000));
    vm.advance(base::milliseconds(50));
    vm.crash();
    expect_end(fleet::completion_kind::stopped, base::milliseconds(50));
}

}  // namespace
