// A daemon that stops gracefully offers its cells; others take them without waiting for a lapse.
#include "ownership_faults.hpp"

#include <gtest/gtest.h>

namespace standins = cranberrydock::standins;
using cranberrydock::base::milliseconds;
using standins::fault_kind;

namespace {

// A scan period, and two more ranks than may be ahead: the one that stops is not counted with.
constexpr milliseconds handover{500 + 2 * 300 + 300};

}  // namespace

TEST(ownership, a_graceful_stop_hands_over_at_once) {
    std::size_t handovers = 0;
    EXPECT_TRUE(rc::check("no lapse, and the next owner comes within a scan or two", [&] {
        auto world = standins::any_world();
        world.run_until(standins::world_settled);
        standins::fault_ranges ranges;
        ranges.from = standins::world_settled;
        const auto stops = *standins::any_faults({fault_kind::stop}, ranges);
        standins::run_faults(world, stops);
        world.run_until(world.faults_end() + milliseconds(10'000));
        standins::assert_no_breach(world);
        RC_ASSERT(world.takeovers() == 0U);
        RC_ASSERT(world.stops_finished() > 0U);
        RC_ASSERT(world.longest_handover() < handover);
        RC_ASSERT(world.cells_without_owner() == 0U);
        handovers += world.handovers();
    }));
    EXPECT_GT(handovers, 100U);
}
