// After any faults, once none occur any more, every task that has room starts within a bound:
// whatever answers were lost or late, and however VMs, owners and the configuration changed.
#include "random_fleet.hpp"

#include <gtest/gtest.h>

namespace {

RC_GTEST_PROP(fleet, task_with_room_is_started_again, ()) {
    cranberrydock::test::check_all_start(false);
}

}  // namespace
