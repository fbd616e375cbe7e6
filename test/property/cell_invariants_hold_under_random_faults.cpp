// Random work and several random faults at a time: owners are killed, suspended and drained; VMs
// are unresponsive, suspended, replaced or failing; commands are lost or late; the store is down or
// loses answers; the team's upper limit is lowered. At every step no VM is overcommitted, no task
// runs in two places, no work runs twice that may not be repeated, and no team exceeds its limit;
// every answer is complete and belongs to its request, and every "not run" is true. Afterwards
// every caller has an outcome.
#include "standins/cell_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace {

using namespace cranberrydock::standins;
using cranberrydock::base::milliseconds;

constexpr int active_phase_ms = 20'000;  // faults and submissions start in this phase
constexpr int longest_fault_ms = 8'000;
constexpr int longest_task_ms = 6'000;
constexpr milliseconds simulated_time{180'000};
constexpr std::size_t vm_count = 3;

rc::Gen<milliseconds> any_duration_below(int limit_ms) {
    return rc::gen::map(rc::gen::inRange(1, limit_ms), [](int n) { return milliseconds(n); });
}

rc::Gen<cell_fault> any_fault() {
    return rc::gen::build<cell_fault>(
        rc::gen::set(
            &cell_fault::kind,
            rc::gen::map(rc::gen::inRange(0, static_cast<int>(cell_fault_kind::limit_lowered) + 1),
                         [](int n) { return static_cast<cell_fault_kind>(n); })),
        rc::gen::set(&cell_fault::vm, rc::gen::inRange<std::size_t>(0, vm_count)),
        rc::gen::set(&cell_fault::start_time, any_duration_below(active_phase_ms)),
        rc::gen::set(&cell_fault::duration, any_duration_below(longest_fault_ms)));
}

rc::Gen<caller_plan> any_caller() {
    const auto one_in_five = [] {
        return rc::gen::map(rc::gen::inRange(0, 5), [](int n) { return n == 0; });
    };
    return rc::gen::build<caller_plan>(
        rc::gen::set(&caller_plan::start_time, any_duration_below(active_phase_ms)),
        rc::gen::set(&caller_plan::task_time, any_duration_below(longest_task_ms)),
        rc::gen::set(&caller_plan::repeatable, rc::gen::arbitrary<bool>()),
        rc::gen::set(&caller_plan::job, rc::gen::arbitrary<bool>()),
        rc::gen::set(&caller_plan::gang, one_in_five()),
        rc::gen::set(&caller_plan::cancelled, one_in_five()));
}

TEST(cell, invariants_hold_under_random_faults) {
    const bool succeeded = rc::check("a cell keeps its promises under any faults", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::container<std::vector<cell_fault>>(any_fault());
        const auto callers = *rc::gen::container<std::vector<caller_plan>>(any_caller());
        cell_simulation simulation(seed, vm_count);
        for (const auto& it : faults) {
            simulation.add(it);
        }
        for (const auto& it : callers) {
            simulation.add(it);
        }
        simulation.run_until(simulated_time);
        RC_ASSERT(simulation.violations() == "");
        RC_ASSERT(simulation.describe_unanswered_callers() == "");
        RC_TAG(faults.empty() ? "no faults" : "faults");
    });
    EXPECT_TRUE(succeeded);
}

}  // namespace
