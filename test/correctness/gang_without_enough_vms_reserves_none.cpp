// A gang that the VMs cannot hold, even if they were empty, does not keep other work from them.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::int64_t vm_cores = 8'000;
constexpr int vm_count = 4;

// The numbers of starts for a task that is less urgent than a gang of `members`, each of which
// needs a VM of its own.
std::size_t starts_beside_gang(int members) {
    base::metrics metrics;
    fleet::scheduler scheduler(fleet::fencing_token(1), {}, metrics);
    const fleet::clock_reading now{base::time_point(base::seconds(100)),
                                   fleet::unix_time(1'700'000'000'000)};
    scheduler.configure(
        std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
    scheduler.inherited_runs_reported(now);
    for (int i = 0; i < vm_count; ++i) {
        fleet::vm_info vm;
        vm.id = fleet::vm_id("vm-" + std::to_string(i));
        vm.service = fleet::service_name("svc");
        vm.capacity = vm_capacity_of(vm_cores);
        scheduler.vm_listed(vm);
        scheduler.vm_reported(vm.id, {}, now.steady, now);
    }
    // Takes a part of one VM, so that the gang has to wait.
    auto earlier = make_job("earlier", "urgent", {make_step(1, 1'000)});
    earlier.accepted = now.wall;
    scheduler.add_job(earlier, nullptr, false, now);
    scheduler.decide(now, {0, 0});
    auto step = make_step(members, vm_cores);
    step.gang = true;
    auto gang = make_job("gang", "urgent", {step});
    gang.accepted = now.wall;
    scheduler.add_job(gang, nullptr, false, now);
    auto later = make_job("later", "batch", {make_step(1, 1'000)});
    later.accepted = now.wall;
    scheduler.add_job(later, nullptr, false, now);
    return scheduler.decide(now, {0, 0}).starts.size();
}

TEST(scheduler, task_starts_beside_gang_that_vms_cannot_hold) {
    EXPECT_EQ(starts_beside_gang(vm_count + 1), 1U);
}

TEST(scheduler, task_waits_for_gang_that_vms_can_hold) {
    EXPECT_EQ(starts_beside_gang(vm_count), 0U);
}

}  // namespace
