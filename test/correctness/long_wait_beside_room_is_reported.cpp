// The scheduler reports steps whose tasks wait for a long time beside room, with the reason, and
// only these.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr base::milliseconds long_wait{3'000};
constexpr std::size_t no_limit = 1'000;

TEST(scheduler, long_wait_beside_room_is_reported_with_reason) {
    base::metrics metrics;
    fleet::scheduler scheduler(fleet::fencing_token(1), {}, metrics);
    base::time_point time{base::seconds(100)};
    const auto now = [&] {
        return fleet::clock_reading{time, fleet::unix_time(1'700'000'000'000)};
    };
    auto configuration = two_queue_configuration(4'000);
    configuration.queues.back().query_cost = fleet::placement_query_cost{
        base::milliseconds(40), base::microseconds(1'000), base::milliseconds(2'500)};
    scheduler.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
    scheduler.inherited_runs_reported(now());
    fleet::vm_info vm;
    vm.id = fleet::vm_id("vm");
    vm.service = fleet::service_name("svc");
    vm.capacity = vm_capacity_of(8'000);
    scheduler.vm_listed(vm);
    scheduler.vm_reported(vm.id, {}, time, now());
    auto limited = make_job("limited", "urgent", {make_step(2, 3'000)});
    scheduler.add_job(limited, nullptr, false, now());
    auto advised = make_job("advised", "batch", {make_step(1, 100)});
    advised.customer = fleet::customer_name("other");
    scheduler.add_job(advised, nullptr, false, now());
    auto large = make_job("large", "urgent", {make_step(1, 7'000)});
    large.customer = fleet::customer_name("other");
    scheduler.add_job(large, nullptr, false, now());
    scheduler.decide(now(), {0, 0});
    time += long_wait / 2;
    EXPECT_TRUE(scheduler.overdue_steps(now(), long_wait, no_limit, no_limit).empty());
    time += long_wait;
    scheduler.decide(now(), {0, 0});
    // The second task of `limited` has to wait beside 5 free cores, which do not fit it twice, and
    // `large` has no room.
    auto found = scheduler.overdue_steps(now(), long_wait, no_limit, no_limit);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].step.job, advised.id);
    EXPECT_EQ(found[0].reason, fleet::wait_reason::no_free_advisor);
    EXPECT_GE(found[0].waited, long_wait);
    EXPECT_EQ(found[0].considered_before, base::milliseconds(0));
    vm.id = fleet::vm_id("vm-2");
    scheduler.vm_listed(vm);
    scheduler.vm_reported(vm.id, {}, time, now());
    scheduler.decide(now(), {0, 0});  // `large` starts
    found = scheduler.overdue_steps(now(), long_wait, no_limit, no_limit);
    EXPECT_EQ(found.size(), 1U);
    vm.id = fleet::vm_id("vm-3");
    scheduler.vm_listed(vm);
    scheduler.vm_reported(vm.id, {}, time, now());
    scheduler.decide(now(), {0, 0});
    found = scheduler.overdue_steps(now(), long_wait, no_limit, no_limit);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].step.job == limited.id ? found[0].headroom.cores : found[1].headroom.cores,
              base::millicores(1'000));
    EXPECT_EQ(scheduler.overdue_steps(now(), long_wait, 1, no_limit).size(), 1U);
}

}  // namespace
