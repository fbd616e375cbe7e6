// A daemon that stops gracefully offers its cells. Other daemons take them over without waiting for
// a lease to expire.
#include "ownership_faults.hpp"

#include <gtest/gtest.h>

namespace standins = cranberrydock::standins;
using cranberrydock::base::milliseconds;
using standins::fault_kind;

namespace {

// One scan period, and the delays of two more ranks than can be ahead of a candidate. The daemon
// that stops is not counted.
constexpr milliseconds max_handover_time{500 + 2 * 300 + 300};

}  // namespace

TEST(ownership, graceful_stop_hands_cells_over_without_lease_expiry) {
    std::size_t handovers = 0;
    EXPECT_TRUE(
        rc::check("no lease expires, and the new owner takes over within a scan or two", [&] {
            auto simulation = standins::any_simulation();
            simulation.run_until(standins::startup_time);
            standins::fault_ranges ranges;
            ranges.from = standins::startup_time;
            const auto stops = *standins::any_faults({fault_kind::stop}, ranges);
            standins::run_faults(simulation, stops);
            simulation.run_until(simulation.last_fault_end() + milliseconds(10'000));
            standins::assert_no_violation(simulation);
            RC_ASSERT(simulation.takeover_count() == 0U);
            RC_ASSERT(simulation.finished_stop_count() > 0U);
            RC_ASSERT(simulation.longest_handover() < max_handover_time);
            RC_ASSERT(simulation.unowned_cell_count() == 0U);
            handovers += simulation.handover_count();
        }));
    EXPECT_GT(handovers, 100U);
}
