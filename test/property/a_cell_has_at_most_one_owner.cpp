// Ownership of cells under random faults: several machines, one model of the table service.
#include <cranberrydock/base/units.hpp>

#include "standins/ownership_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

using cranberrydock::base::milliseconds;
using cranberrydock::standins::fault;
using cranberrydock::standins::fault_kind;
using cranberrydock::standins::ownership_world;
using cranberrydock::standins::ownership_world_settings;

constexpr std::size_t daemons = 5;
constexpr std::size_t cells = 3;
constexpr milliseconds last_fault_begins{40'000};
constexpr milliseconds longest_fault{15'000};  // several leases
// Lease, watching anew after a gap, scans before and after it, the last rank's delay, commits.
constexpr milliseconds recovery{3'000 + 3 * 500 + 5 * 300 + 500};

rc::Gen<fault> any_fault(const std::vector<fault_kind>& kinds) {
    return rc::gen::build<fault>(
        rc::gen::set(&fault::kind, rc::gen::elementOf(kinds)),
        rc::gen::set(&fault::who, rc::gen::inRange<std::size_t>(0, daemons)),
        rc::gen::set(&fault::at,
                     rc::gen::map(rc::gen::inRange<std::int64_t>(0, last_fault_begins.count()),
                                  [](auto n) { return milliseconds(n); })),
        rc::gen::set(&fault::lasting,
                     rc::gen::map(rc::gen::inRange<std::int64_t>(100, longest_fault.count()),
                                  [](auto n) { return milliseconds(n); })));
}

const std::vector<fault_kind> every_kind = {fault_kind::freeze,     fault_kind::replace,
                                            fault_kind::restart,    fault_kind::stop,
                                            fault_kind::store_down, fault_kind::store_cut,
                                            fault_kind::store_slow, fault_kind::lossy_answers,
                                            fault_kind::mesh_cut,   fault_kind::mesh_lossy};

ownership_world make_world() {
    ownership_world_settings settings;
    settings.daemons = daemons;
    settings.cells = cells;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    return ownership_world(settings);
}

void expect_no_breach(const ownership_world& world) {
    if (!world.breaches().empty()) {
        RC_FAIL(world.breaches().front());
    }
}

}  // namespace

TEST(ownership, one_owner_at_a_time_and_recovery_after_faults) {
    EXPECT_TRUE(rc::check("one owner an epoch, one that places, recovery in time", [] {
        auto world = make_world();
        const auto faults = *rc::gen::container<std::vector<fault>>(any_fault(every_kind));
        for (const auto& it : faults) {
            world.add(it);
        }
        world.run_until(last_fault_begins + longest_fault);
        expect_no_breach(world);
        world.run_until(world.faults_end() + recovery);
        expect_no_breach(world);
        RC_LOG() << "faults end at " << world.faults_end().count() << " ms; " << world.owners()
                 << '\n';
        RC_ASSERT(world.cells_without_owner() == 0U);
        RC_TAG(world.takeovers() / 5);
    }));
}
