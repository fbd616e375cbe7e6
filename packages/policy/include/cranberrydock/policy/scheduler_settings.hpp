// Settings of a scheduler. The defaults suit cells of some tens to thousands of VMs.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstddef>

namespace cranberrydock::policy {

struct scheduler_settings {
    // If true, reservations follow observed usage; otherwise they are as declared.
    bool learn_task_sizes = true;

    // If urgent tasks of a team below its share have waited this long for room, running batch tasks
    // are stopped. max_concurrent_preemptions limits how many are being stopped at once; 0 disables
    // it.
    base::duration preemption_delay = base::milliseconds(300);
    std::size_t max_concurrent_preemptions = 32;

    // A task or gang that has found no room for this long gets a reservation.
    base::duration reservation_delay = base::seconds(1);
    // Lifetime of the first reservation. It doubles with each further one, up to the maximum.
    base::duration initial_reservation_time = base::seconds(30);
    base::duration max_reservation_time = base::seconds(600);
    // Maximum number of tasks and gangs that have a reservation at the same time.
    std::size_t max_reservations = 4;

    // Fraction of the cell, 0 to 1, that teams above their share leave idle while tasks of teams
    // below their share find no room.
    double idle_fraction_for_shares = 0.02;

    // Maximum fraction of the cell's VMs that are in quarantine at the same time, 0 to 1; the
    // number of VMs is rounded down.
    double max_quarantined_fraction = 0.2;
    // Delay between the start of a VM's quarantine and its first probe. It doubles after each
    // failed probe, up to the maximum.
    base::duration initial_probe_delay = base::seconds(10);
    base::duration max_probe_delay = base::seconds(300);

    // Limits how much of a team's use in other cells counts here, as a multiple of its use in this
    // cell. Without the limit a team that uses much elsewhere could wait here forever.
    double max_elsewhere_factor = 3.0;
};

}  // namespace cranberrydock::policy
