// The end of a task's run as the owner knows it, with what proved it (fleet/run_leases.hpp). A task
// is started again only with such a proof.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/ownership.hpp>
#include <cranberrydock/fleet/run_leases.hpp>

#include <cstdint>
#include <optional>

namespace cranberrydock::fleet {

enum class end_proof : std::uint8_t {
    completion,         // the VM listed the run's completion
    not_listed,         // a report that was requested later does not list the run
    other_incarnation,  // the incarnation of the VM that held the run has ended
    lease_expired,      // every lease on the VM has expired
    start_refused,      // the VM has refused the start command
    not_delivered,      // the VM has not received the start command
};

const char* to_string(end_proof proof);

struct ended_run {
    vm_id vm;
    run_number run;
    bool adopted = false;  // a previous owner started it
    end_proof proof = end_proof::completion;
    // When the proof was received. For an ended incarnation, when the last decision before that was
    // made.
    base::time_point proved_at{};
    lease_expiry expiry;  // for `lease_expired`
    // When the task was started again.
    std::optional<base::time_point> restarted_at;
};

// By how much a task was started again later than its earlier run had to end: its lease, and the
// VM's time to stop, on the clock of that VM, which read `report` at `now`. Negative: the run may
// not have ended by then. Empty if the end was proved otherwise, or by the lease of a previous
// owner.
std::optional<milliseconds> restart_margin(const ended_run& earlier, vm_time report,
                                           base::time_point now);

}  // namespace cranberrydock::fleet
