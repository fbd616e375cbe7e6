// A model of everything that decides when a task may be started again: daemons that own the fleet
// in turn, the store's row that names the owner, the member list, and VMs with leases on clocks of
// their own. It drives the classes of the package fleet; what the daemon's event loop does around
// them (fleet_daemon: daemon.cpp, owner_vms.cpp, owner_startup.cpp, vm_session.cpp) is restated
// here. Runs in simulated time. A seed determines the faults and the order of all events.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace cranberrydock::standins {

struct takeover_settings {
    base::milliseconds lease{4'500};
    // Within which a VM ends the runs of an expired lease, as far as the owner knows.
    base::milliseconds max_stop_time{400};
    // How much longer than that VMs may take.
    base::milliseconds stop_excess{0};
    // Whether a daemon's process may go on beside its replacement.
    bool overlapping_processes = true;
};

struct takeover_outcome {
    // A start of a task while another VM still ran it. Empty: there was none.
    std::string in_two_places;
    // The longest time for which that VM went on with its run.
    base::milliseconds longest_overlap{0};
    // From the end of a run that no VM had reported yet to the next start of its task.
    base::duration smallest_margin = base::duration::max();
    std::string at_smallest_margin;
    int owners = 0;
    int restarts = 0;            // of tasks whose earlier run had ended
    int restarts_by_expiry = 0;  // without a report of that end
};

takeover_outcome play_takeovers(const takeover_settings& settings, std::uint64_t seed);

}  // namespace cranberrydock::standins
