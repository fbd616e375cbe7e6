// A store that is down, slow, or unreachable from one daemon for a short time takes no cell from a
// live owner. During an outage that all daemons observe, owners continue to place tasks.
#include "ownership_faults.hpp"

#include <gtest/gtest.h>

namespace standins = cranberrydock::standins;
using cranberrydock::base::milliseconds;
using standins::fault_kind;

TEST(ownership, store_outage_causes_no_takeover) {
    EXPECT_TRUE(rc::check("outages, slow stores and cut links take no cell away", [] {
        auto simulation = standins::any_simulation();
        simulation.run_until(standins::startup_time);
        const auto before = simulation.describe_owners();
        standins::run_faults(simulation,
                             *standins::any_faults({fault_kind::store_down, fault_kind::mesh_cut},
                                                   {standins::startup_time}));
        simulation.run_until(simulation.last_fault_end() + milliseconds(10'000));
        standins::assert_no_violation(simulation);
        RC_ASSERT(simulation.describe_owners() == before);
    }));
}

TEST(ownership, reachable_owner_keeps_cell_with_slow_store) {
    EXPECT_TRUE(rc::check("a short cut or a slow store takes no cell away", [] {
        auto simulation = standins::any_simulation();
        simulation.run_until(standins::startup_time);
        const auto before = simulation.describe_owners();
        standins::fault_ranges ranges;
        ranges.from = standins::startup_time;
        ranges.shortest = milliseconds(2'000);
        ranges.longest = milliseconds(4'000);  // longer than a lease
        const auto kind = *rc::gen::element(fault_kind::store_cut, fault_kind::store_slow);
        auto faults = *standins::any_faults({kind}, ranges);
        faults.resize(1);  // overlapping faults would add up to a long one
        // Promises alone would keep the cell; this fault loses most of them.
        faults.push_back({fault_kind::mesh_lossy, 0, ranges.from, ranges.until});
        standins::run_faults(simulation, faults);
        simulation.run_until(simulation.last_fault_end() + milliseconds(10'000));
        RC_ASSERT(simulation.describe_owners() == before);
    }));
}

TEST(ownership, placement_continues_throughout_store_outage) {
    EXPECT_TRUE(rc::check("an owner may place at every point in time", [] {
        auto simulation = standins::any_simulation();
        simulation.run_until(standins::startup_time);
        simulation.take_unowned_observations();
        standins::fault_ranges ranges;
        ranges.from = standins::startup_time;
        standins::run_faults(simulation, *standins::any_faults({fault_kind::store_down}, ranges));
        simulation.run_until(simulation.last_fault_end() + milliseconds(10'000));
        standins::assert_no_violation(simulation);
        RC_ASSERT(simulation.take_unowned_observations() == 0U);
    }));
}

TEST(ownership, daemon_that_alone_lost_store_is_replaced) {
    EXPECT_TRUE(rc::check("tasks are placed in its cells again within two leases and a margin", [] {
        auto simulation = standins::any_simulation();
        simulation.run_until(standins::startup_time);
        standins::fault cut;
        cut.kind = fault_kind::store_cut;
        cut.daemon = *standins::index_below(standins::cell_count);
        cut.start_time = standins::startup_time;
        cut.duration = milliseconds(60'000);
        simulation.add(cut);
        simulation.run_until(cut.start_time + milliseconds(2 * 3'000 + 3 * 500 + 5 * 300 + 500));
        standins::assert_no_violation(simulation);
        RC_ASSERT(simulation.unowned_cell_count() == 0U);
    }));
}
