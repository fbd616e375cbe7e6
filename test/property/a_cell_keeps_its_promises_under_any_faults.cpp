// Random work and random faults, several at once: owners killed, frozen and drained, VMs silent,
// frozen, replaced and failing, commands lost and late, the store down and losing answers, the
// limit lowered. At every step: no VM overcommitted, no task in two places, no work run twice that
// may not be, no team above its limit; every answer whole and its own; every "not run" true.
// Afterwards everybody has an outcome.
#include "standins/cell_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace {

using namespace cranberrydock::standins;
using cranberrydock::base::milliseconds;

constexpr int busy_ms = 20'000;  // faults and submissions fall into this time
constexpr int longest_fault_ms = 8'000;
constexpr int longest_task_ms = 6'000;
constexpr milliseconds settled{180'000};
constexpr std::size_t vms = 3;

rc::Gen<milliseconds> within(int longest) {
    return rc::gen::map(rc::gen::inRange(1, longest), [](int n) { return milliseconds(n); });
}

rc::Gen<cell_fault> any_fault() {
    return rc::gen::build<cell_fault>(
        rc::gen::set(
            &cell_fault::kind,
            rc::gen::map(rc::gen::inRange(0, static_cast<int>(cell_fault_kind::limit_lowered) + 1),
                         [](int n) { return static_cast<cell_fault_kind>(n); })),
        rc::gen::set(&cell_fault::vm, rc::gen::inRange<std::size_t>(0, vms)),
        rc::gen::set(&cell_fault::at, within(busy_ms)),
        rc::gen::set(&cell_fault::lasting, within(longest_fault_ms)));
}

rc::Gen<caller_plan> any_caller() {
    const auto seldom = [] {
        return rc::gen::map(rc::gen::inRange(0, 5), [](int n) { return n == 0; });
    };
    return rc::gen::build<caller_plan>(
        rc::gen::set(&caller_plan::at, within(busy_ms)),
        rc::gen::set(&caller_plan::task_time, within(longest_task_ms)),
        rc::gen::set(&caller_plan::repeatable, rc::gen::arbitrary<bool>()),
        rc::gen::set(&caller_plan::job, rc::gen::arbitrary<bool>()),
        rc::gen::set(&caller_plan::gang, seldom()),
        rc::gen::set(&caller_plan::cancelled, seldom()));
}

TEST(cell, keeps_its_promises_under_any_faults) {
    const bool held = rc::check("a cell keeps its promises under any faults", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto faults = *rc::gen::container<std::vector<cell_fault>>(any_fault());
        const auto callers = *rc::gen::container<std::vector<caller_plan>>(any_caller());
        cell_world world(seed, vms);
        for (const auto& it : faults) {
            world.add(it);
        }
        for (const auto& it : callers) {
            world.add(it);
        }
        world.run_until(settled);
        RC_ASSERT(world.breaches() == "");
        RC_ASSERT(world.unanswered() == "");
        RC_TAG(faults.empty() ? "no faults" : "faults");
    });
    EXPECT_TRUE(held);
}

}  // namespace
