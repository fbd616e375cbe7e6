// A VM of the stand-in shortens a lease that is longer than the platform allows, also one that was
// meant for an earlier incarnation, whose clock had advanced further.
#include "standins/fleet_vm.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

constexpr milliseconds max_lease{6'000};

class site_vm : public testing::Test {
public:
    site_vm() { vm.set_max_lease(max_lease); }

    fleet_vm vm{{}, [](const fleet::task_ref&, fleet::run_number) {
                    task_behavior out;
                    out.run_time = milliseconds(60'000);
                    return out;
                }};
    const fleet::vm_time far{1'000'000};
};

TEST_F(site_vm, shortens_lease_of_start) {
    fleet::start_command command;
    command.task.job = fleet::job_id("job");
    command.run = fleet::run_number(1);
    command.lease_until = far;
    ASSERT_TRUE(vm.start(fleet::fencing_token(1), command));
    vm.advance(max_lease + milliseconds(1));
    EXPECT_TRUE(vm.running().empty());
}

TEST_F(site_vm, shortens_lease_of_late_watch) {
    vm.crash();
    fleet::watch_command late;
    late.lease_until = far;
    ASSERT_TRUE(vm.watch(fleet::fencing_token(1), late));
    EXPECT_EQ(vm.lease_until(), fleet::vm_time(vm.now().value() + max_lease.count()));
}

}  // namespace
