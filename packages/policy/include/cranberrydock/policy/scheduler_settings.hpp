// What can be set about a scheduler. The defaults suit a cell of some tens to thousands of VMs.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstddef>

namespace cranberrydock::policy {

struct scheduler_settings {
    // Whether reserves follow learnt usage, or stay as declared.
    bool learn_sizes = true;

    // Urgent work of a team below its share that has found no room for this long gets running batch
    // stopped; at most so many at once, 0 for never.
    base::duration urgent_patience = base::milliseconds(300);
    std::size_t most_stopping = 32;

    // A task or gang for which there was no room for this long gets room kept for it.
    base::duration patience = base::seconds(1);
    // How long room is kept the first time; each further time twice as long, up to the longest.
    base::duration first_reservation = base::seconds(30);
    base::duration longest_reservation = base::seconds(600);
    // Tasks and gangs for which room is kept at once.
    std::size_t most_reservations = 4;

    // Part of the cell that teams above their share leave idle while work of teams below theirs
    // finds no room, 0 to 1.
    double idle_for_shares = 0.02;

    // Part of a cell's VMs that may be in quarantine at once, 0 to 1; rounded down.
    double most_quarantined = 0.2;
    // How long after its quarantine began a VM gets its first probe; twice as long after each
    // failed one, up to the longest.
    base::duration first_probe = base::seconds(10);
    base::duration longest_probe = base::seconds(300);

    // By how much a team's use in other cells may count here, as a multiple of its use here. The
    // bound keeps a team that runs much elsewhere from waiting here without end.
    double most_elsewhere = 3.0;
};

}  // namespace cranberrydock::policy
