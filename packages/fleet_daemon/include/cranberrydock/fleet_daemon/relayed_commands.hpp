// Commands for VMs and their outcomes, as an owner and a relay exchange them in batches.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::fleet_daemon {

using command_number = base::strong_number<struct command_number_tag>;  // unique per owner process

// Milliseconds on a relay's own clock, which advances while its VM is suspended.
using relay_time = base::strong_number<struct relay_time_tag>;

struct stop_command {
    fleet::task_ref task;
    fleet::run_number run;
};

struct relayed_command {
    command_number number;
    fleet::vm_id vm;
    std::string address;
    fleet::fencing_token owner;
    std::variant<fleet::start_command, stop_command, fleet::watch_command> content;
};

// The VM's id and address, which suffice to send it the command.
inline fleet::vm_info facts_of(const relayed_command& relayed) {
    fleet::vm_info out;
    out.id = relayed.vm;
    out.address = relayed.address;
    return out;
}

struct command_batch {
    std::string sender;     // the owner's process
    std::string relay_run;  // the run of the relay that the commands are for; empty: no commands
    relay_time not_after;   // the relay drops commands that it receives later
    std::vector<relayed_command> commands;
};

// The relay did not pass the command on, because it arrived after `not_after`.
struct command_expired {};

struct relayed_outcome {
    command_number number;
    std::variant<fleet::vm_time, fleet::vm_report, fleet::command_failure, command_expired> content;
};

struct outcome_batch {
    std::string run;  // the run of the relay
    relay_time now;   // when the relay sent the batch
    std::vector<relayed_outcome> outcomes;
};

using exchange_callback = std::function<void(outcome_batch)>;

}  // namespace cranberrydock::fleet_daemon
