// Generators of worlds and faults for the ownership properties.
#pragma once

#include "standins/ownership_world.hpp"

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace cranberrydock::standins {

constexpr std::size_t world_daemons = 5;
constexpr std::size_t world_cells = 3;
// By then the daemons have started and every cell has its first owner.
constexpr base::milliseconds world_settled{8'000};

struct fault_ranges {
    base::milliseconds from = base::milliseconds(0);
    base::milliseconds until = base::milliseconds(40'000);
    base::milliseconds shortest = base::milliseconds(100);
    base::milliseconds longest = base::milliseconds(15'000);
};

// The whole range in every case: RapidCheck's early cases would keep near its beginning.
inline rc::Gen<base::milliseconds> time_between(base::milliseconds least, base::milliseconds most) {
    const auto count = rc::gen::resize(rc::kNominalSize,
                                       rc::gen::inRange<std::int64_t>(least.count(), most.count()));
    return rc::gen::map(count, [](std::int64_t n) { return base::milliseconds(n); });
}

inline rc::Gen<std::size_t> index_below(std::size_t n) {
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, n));
}

inline rc::Gen<std::vector<fault>> any_faults(const std::vector<fault_kind>& kinds,
                                              const fault_ranges& ranges) {
    const auto one = rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::who, index_below(world_daemons)),
        rc::gen::set(&fault::at, time_between(ranges.from, ranges.until)),
        rc::gen::set(&fault::lasting, time_between(ranges.shortest, ranges.longest)));
    return rc::gen::mapcat(index_below(10), [one](std::size_t n) {
        return rc::gen::container<std::vector<fault>>(n + 1, one);
    });
}

inline ownership_world any_world() {
    ownership_world_settings settings;
    settings.daemons = world_daemons;
    settings.cells = world_cells;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    return ownership_world(settings);
}

// Lets the faults happen, up to the end of the last one.
inline void run_faults(ownership_world& world, const std::vector<fault>& faults) {
    for (const auto& it : faults) {
        world.add(it);
    }
    world.run_until(world.faults_end());
}

inline void assert_no_breach(const ownership_world& world) {
    if (!world.breaches().empty()) {
        RC_FAIL(world.breaches().front());
    }
}

}  // namespace cranberrydock::standins
