// Orders to VMs and their outcomes, as an owner and a relay exchange them in batches.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::steward {

using order_number = base::strong_number<struct order_number_tag>;  // of one owner's process

// Milliseconds on a relay's own clock, which goes on while its VM is suspended.
using relay_time = base::strong_number<struct relay_time_tag>;

struct stop_order {
    fleet::task_ref task;
    fleet::run_number run;
};

struct relayed_order {
    order_number number;
    fleet::vm_id vm;
    std::string address;
    fleet::fence owner;
    std::variant<fleet::start_order, stop_order, fleet::watch_order> what;
};

// What of the VM the order needs to be carried out.
inline fleet::vm_facts facts_of(const relayed_order& order) {
    fleet::vm_facts out;
    out.id = order.vm;
    out.address = order.address;
    return out;
}

struct order_batch {
    std::string sender;     // the owner's process
    std::string relay_run;  // of the relay for which the orders are meant; empty: none are sent yet
    relay_time not_after;   // later the orders are not carried out any more
    std::vector<relayed_order> orders;
};

// The relay has not passed the order on, for it came too late.
struct order_expired {};

struct relayed_outcome {
    order_number number;
    std::variant<fleet::vm_time, fleet::vm_report, fleet::order_failure, order_expired> what;
};

struct outcome_batch {
    std::string run;  // of the relay
    relay_time now;
    std::vector<relayed_outcome> outcomes;
};

using exchange_done = std::function<void(outcome_batch)>;

}  // namespace cranberrydock::steward
