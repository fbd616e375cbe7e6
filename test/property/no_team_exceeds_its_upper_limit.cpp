// The keepers of several cells divide a team's upper limit: no start brings the fleet above it,
// whatever the store, the owners and the operators do; and when all is quiet it is used and shared.
#include "standins/allowance_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace standins = cranberrydock::standins;

namespace {

constexpr std::size_t cells = 3;
constexpr int steps = 10'000;
constexpr int mixing_steps = 2'000;
constexpr int settling_steps = 6'000;  // some three minutes

standins::allowance_world any_world() {
    standins::allowance_world_settings settings;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.cells = cells;
    return standins::allowance_world(settings);
}

}  // namespace

TEST(allowance, no_start_brings_a_team_above_its_limit) {
    std::size_t starts = 0;
    EXPECT_TRUE(rc::check("starts stay within the limit", [&] {
        auto world = any_world();
        for (int i = 0; i < steps; ++i) {
            world.step();
            if (!world.breaches().empty()) {
                RC_FAIL(world.breaches().front() + " at step " + std::to_string(i));
            }
        }
        starts += world.starts();
    }));
    EXPECT_GT(starts, 1'000U);
}

TEST(allowance, a_limit_is_used_and_divided_when_every_cell_wants_it) {
    EXPECT_TRUE(rc::check("used up to a few tasks that have just ended, divided within two", [] {
        auto world = any_world();
        for (int i = 0; i < mixing_steps; ++i) {
            world.step();
        }
        world.stop_faults();
        world.demand_everything();
        std::int64_t running = 0;
        std::vector<std::int64_t> by_cell(cells, 0);
        for (int i = 0; i < 2 * settling_steps; ++i) {
            world.step();
            for (std::size_t n = 0; i >= settling_steps && n < cells; ++n) {
                running += world.running_in(n);
                by_cell[n] += world.running_in(n);
            }
        }
        RC_ASSERT(world.breaches().empty());
        // On average: tasks end and their successors take a few steps to start.
        const auto entitled = world.limit() * settling_steps;
        RC_LOG() << "limit " << world.limit() << ", average "
                 << static_cast<double>(running) / settling_steps << ", cells";
        for (const auto it : by_cell) {
            RC_LOG() << ' ' << static_cast<double>(it) / settling_steps;
        }
        RC_ASSERT(running * 10 >= entitled * 6);
        for (const auto it : by_cell) {
            RC_ASSERT(it * cells + cells * 2 * settling_steps >= running);
        }
    }));
}
