// Ownership of cells under random faults: each epoch has one owner, epochs only increase, no two
// daemons may place tasks in a cell at the same time, and every cell has an owner soon after the
// last fault.
//
// Two cases are not covered here and are left to the fencing on the VMs: a process that is
// suspended between its call of may_place() and the send; and a daemon that is the only one to
// reach the store, and that the member list omits by mistake or that started during an outage
// without the owner's knowledge.
#include "ownership_faults.hpp"

#include <gtest/gtest.h>

namespace standins = cranberrydock::standins;
using cranberrydock::base::milliseconds;
using standins::fault_kind;

namespace {

// One lease; three scan periods: the scans before and after a gap, and the observation that
// restarts after it; the delay of the last rank; and the takeover commit with its answers.
constexpr milliseconds recovery_time{3'000 + 3 * 500 + 5 * 300 + 500};

const std::vector<fault_kind> all_fault_kinds = {
    fault_kind::suspend,       fault_kind::replace,    fault_kind::restart,    fault_kind::stop,
    fault_kind::store_cut,     fault_kind::store_down, fault_kind::store_slow, fault_kind::mesh_cut,
    fault_kind::lossy_answers, fault_kind::mesh_lossy};

}  // namespace

TEST(ownership, cell_has_one_owner_and_recovers_after_faults) {
    std::size_t takeovers = 0;
    std::size_t handovers = 0;
    EXPECT_TRUE(rc::check("one owner at a time, and an owner in time after faults", [&] {
        auto simulation = standins::any_simulation();
        standins::run_faults(simulation, *standins::any_faults(all_fault_kinds, {}));
        simulation.run_until(simulation.last_fault_end() + recovery_time);
        standins::assert_no_violation(simulation);
        RC_LOG() << "faults end at " << simulation.last_fault_end().count() << " ms; "
                 << simulation.describe_owners();
        RC_ASSERT(simulation.unowned_cell_count() == 0U);
        takeovers += simulation.takeover_count();
        handovers += simulation.handover_count();
    }));
    // The property is meaningful only if cells changed their owners often enough.
    EXPECT_GT(takeovers, 50U);
    EXPECT_GT(handovers, 20U);
}

// One owner loses both the store and the mesh. Only then does another daemon take over as early as
// the rules allow, just when the previous owner returns.
TEST(ownership, isolated_owner_stops_before_takeover) {
    std::size_t takeovers = 0;
    EXPECT_TRUE(rc::check("one owner at a time", [&] {
        auto simulation = standins::any_simulation();
        simulation.run_until(standins::startup_time);
        const auto victim = simulation.owner_of(*standins::index_below(standins::cell_count));
        const auto start = standins::startup_time;
        const auto mesh_cut = *standins::time_between(milliseconds(0), milliseconds(4'000));
        const auto store_cut = *standins::time_between(milliseconds(3'000), milliseconds(5'000));
        const auto writes_slow = *standins::time_between(milliseconds(2'000), milliseconds(4'000));
        const auto cut_at = start + milliseconds(4'000);
        simulation.add({fault_kind::mesh_cut, victim, start + mesh_cut, milliseconds(20'000)});
        simulation.add({fault_kind::store_cut, victim, cut_at, store_cut});
        simulation.add({fault_kind::writes_slow, 0, cut_at + writes_slow, milliseconds(2'000)});
        standins::run_faults(simulation, {});
        standins::assert_no_violation(simulation);
        takeovers += simulation.takeover_count();
    }));
    EXPECT_GT(takeovers, 20U);
}

// The peers first refuse a promise to the owner that is cut off from the store, then all of them
// promise during a short outage, and then the store returns for all daemons but the owner.
TEST(ownership, silence_promise_holds_when_store_returns) {
    EXPECT_TRUE(rc::check("one owner at a time", [&] {
        auto simulation = standins::any_simulation();
        simulation.run_until(standins::startup_time);
        const auto victim = simulation.owner_of(*standins::index_below(standins::cell_count));
        const auto begin = standins::startup_time;
        const auto outage_start = *standins::time_between(milliseconds(3'500), milliseconds(7'000));
        const auto outage_length = *standins::time_between(milliseconds(600), milliseconds(1'400));
        simulation.add({fault_kind::store_cut, victim, begin, milliseconds(15'000)});
        simulation.add({fault_kind::store_down, 0, begin + outage_start, outage_length});
        standins::run_faults(simulation, {});
        standins::assert_no_violation(simulation);
    }));
}
