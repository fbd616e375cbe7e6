// Generators of simulations and faults for the ownership properties.
#pragma once

#include "standins/ownership_simulation.hpp"

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace cranberrydock::standins {

constexpr std::size_t daemon_count = 5;
constexpr std::size_t cell_count = 3;
// After this time the daemons have started and every cell has its first owner.
constexpr base::milliseconds startup_time{8'000};

struct fault_ranges {
    base::milliseconds from = base::milliseconds(0);
    base::milliseconds until = base::milliseconds(40'000);
    base::milliseconds shortest = base::milliseconds(100);
    base::milliseconds longest = base::milliseconds(15'000);
};

// Draws from the whole range in every case: RapidCheck's early cases, which have a small size,
// would stay near its beginning.
inline rc::Gen<base::milliseconds> time_between(base::milliseconds lower,
                                                base::milliseconds upper) {
    const auto count = rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::int64_t>(lower.count(), upper.count()));
    return rc::gen::map(count, [](std::int64_t n) { return base::milliseconds(n); });
}

inline rc::Gen<std::size_t> index_below(std::size_t n) {
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, n));
}

inline rc::Gen<std::vector<fault>> any_faults(const std::vector<fault_kind>& kinds,
                                              const fault_ranges& ranges) {
    const auto any_fault = rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::daemon, index_below(daemon_count)),
        rc::gen::set(&fault::start_time, time_between(ranges.from, ranges.until)),
        rc::gen::set(&fault::duration, time_between(ranges.shortest, ranges.longest)));
    return rc::gen::mapcat(index_below(10), [any_fault](std::size_t n) {
        return rc::gen::container<std::vector<fault>>(n + 1, any_fault);
    });
}

inline ownership_simulation any_simulation() {
    ownership_simulation_settings settings;
    settings.daemons = daemon_count;
    settings.cells = cell_count;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    return ownership_simulation(settings);
}

// Runs the simulation with the faults until the last of them has ended.
inline void run_faults(ownership_simulation& simulation, const std::vector<fault>& faults) {
    for (const auto& it : faults) {
        simulation.add(it);
    }
    simulation.run_until(simulation.last_fault_end());
}

inline void assert_no_violation(const ownership_simulation& simulation) {
    if (!simulation.violations().empty()) {
        RC_FAIL(simulation.violations().front());
    }
}

}  // namespace cranberrydock::standins
