// The allowance managers of several cells divide a team's upper limit. No start brings the fleet
// above the limit, whatever faults the store, the owners and the operators cause. Once the faults
// have stopped, the limit is used and shared among the cells.
#include "standins/allowance_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace standins = cranberrydock::standins;

namespace {

constexpr std::size_t cells = 3;
constexpr int steps = 10'000;
constexpr int mixing_steps = 2'000;
constexpr int settling_steps = 6'000;  // about three minutes

standins::allowance_simulation any_simulation() {
    standins::allowance_simulation_settings settings;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.cells = cells;
    return standins::allowance_simulation(settings);
}

}  // namespace

TEST(allowance, starts_never_exceed_team_limit) {
    std::size_t starts = 0;
    EXPECT_TRUE(rc::check("starts stay within the limit", [&] {
        auto simulation = any_simulation();
        for (int i = 0; i < steps; ++i) {
            simulation.step();
            if (!simulation.violations().empty()) {
                RC_FAIL(simulation.violations().front() + " at step " + std::to_string(i));
            }
        }
        starts += simulation.starts();
    }));
    EXPECT_GT(starts, 1'000U);
}

TEST(allowance, limit_is_used_and_shared_under_full_demand) {
    EXPECT_TRUE(rc::check(
        "used but for a few tasks that have just ended, shared within a factor of two", [] {
            auto simulation = any_simulation();
            for (int i = 0; i < mixing_steps; ++i) {
                simulation.step();
            }
            simulation.stop_faults();
            simulation.set_unlimited_demand();
            std::int64_t running = 0;
            std::vector<std::int64_t> by_cell(cells, 0);
            for (int i = 0; i < 2 * settling_steps; ++i) {
                simulation.step();
                for (std::size_t n = 0; i >= settling_steps && n < cells; ++n) {
                    running += simulation.running_slots_in(n);
                    by_cell[n] += simulation.running_slots_in(n);
                }
            }
            RC_ASSERT(simulation.violations().empty());
            // Averages, because a task that has ended is replaced only after a few steps.
            const auto entitled = simulation.limit() * settling_steps;
            RC_LOG() << "limit " << simulation.limit() << ", average "
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
