// As task_with_room_is_started_again, beside many jobs of a customer at its limit and gangs that no
// VMs can hold.
#include "random_fleet.hpp"

#include <gtest/gtest.h>

namespace {

RC_GTEST_PROP(fleet, task_with_room_is_started_beside_backlog, ()) {
    cranberrydock::test::check_all_start(true);
}

}  // namespace
