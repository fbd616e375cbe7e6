// A store that is down or slow, or that one daemon can't reach for a moment, takes no cell from an
// owner that lives; and through an outage that all see, owners go on placing.
#include "ownership_faults.hpp"

#include <gtest/gtest.h>

namespace standins = cranberrydock::standins;
using cranberrydock::base::milliseconds;
using standins::fault_kind;

TEST(ownership, no_takeover_while_the_store_is_down) {
    EXPECT_TRUE(rc::check("outages, slow stores and cut links take no cell away", [] {
        auto world = standins::any_world();
        world.run_until(standins::world_settled);
        const auto before = world.owners();
        standins::run_faults(world,
                             *standins::any_faults({fault_kind::store_down, fault_kind::mesh_cut},
                                                   {standins::world_settled}));
        world.run_until(world.faults_end() + milliseconds(10'000));
        standins::assert_no_breach(world);
        RC_ASSERT(world.owners() == before);
    }));
}

TEST(ownership, an_owner_that_is_heard_keeps_its_cell_when_the_store_is_slow_to_it) {
    EXPECT_TRUE(rc::check("a short cut or a slow store takes no cell away", [] {
        auto world = standins::any_world();
        world.run_until(standins::world_settled);
        const auto before = world.owners();
        standins::fault_ranges ranges;
        ranges.from = standins::world_settled;
        ranges.shortest = milliseconds(2'000);
        ranges.longest = milliseconds(4'000);  // longer than a lease
        const auto kind = *rc::gen::element(fault_kind::store_cut, fault_kind::store_slow);
        auto faults = *standins::any_faults({kind}, ranges);
        faults.resize(1);  // overlapping ones would make a long one
        // Promises alone would do; here most of them get lost.
        faults.push_back({fault_kind::mesh_lossy, 0, ranges.from, ranges.until});
        standins::run_faults(world, faults);
        world.run_until(world.faults_end() + milliseconds(10'000));
        RC_ASSERT(world.owners() == before);
    }));
}

TEST(ownership, owners_place_without_a_break_through_an_outage_of_any_length) {
    EXPECT_TRUE(rc::check("no moment without an owner that may place", [] {
        auto world = standins::any_world();
        world.run_until(standins::world_settled);
        world.moments_without_owner();
        standins::fault_ranges ranges;
        ranges.from = standins::world_settled;
        standins::run_faults(world, *standins::any_faults({fault_kind::store_down}, ranges));
        world.run_until(world.faults_end() + milliseconds(10'000));
        standins::assert_no_breach(world);
        RC_ASSERT(world.moments_without_owner() == 0U);
    }));
}

TEST(ownership, a_daemon_that_alone_has_lost_the_store_is_replaced) {
    EXPECT_TRUE(rc::check("its cells are placed in again within two leases and a margin", [] {
        auto world = standins::any_world();
        world.run_until(standins::world_settled);
        standins::fault cut;
        cut.kind = fault_kind::store_cut;
        cut.who = *standins::index_below(standins::world_cells);
        cut.at = standins::world_settled;
        cut.lasting = milliseconds(60'000);
        world.add(cut);
        world.run_until(cut.at + milliseconds(2 * 3'000 + 3 * 500 + 5 * 300 + 500));
        standins::assert_no_breach(world);
        RC_ASSERT(world.cells_without_owner() == 0U);
    }));
}
