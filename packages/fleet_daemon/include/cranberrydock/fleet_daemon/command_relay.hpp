// Passes commands on to VMs for an owner that has too many VMs to call itself. An exchange stays
// open until outcomes are available, so that the owner receives them without delay and in batches.
//
// The relay makes no decisions. Each command carries its owner's fencing token, which VMs check,
// and each batch a time on this relay's clock after which its commands are not passed on. A relay
// that was paused therefore does nothing on behalf of an owner that may have been replaced since.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/relayed_commands.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cranberrydock::fleet_daemon {

// How long an exchange stays open when there are no outcomes.
constexpr base::milliseconds max_exchange_time{250};

class command_relay {
public:
    // `run` identifies this process among all processes of the relay's VM.
    command_relay(net::event_loop& loop, fleet::vm_control& vms, std::string run);

    // Calls `done` once, within `max_exchange_time`.
    void exchange(const command_batch& batch, exchange_callback done);

private:
    // State of one owner process that sends commands.
    struct sender {
        std::vector<relayed_outcome> ready;
        exchange_callback open;  // callback of the open exchange; empty if there is none
        std::unique_ptr<net::timer> flush;
        std::unique_ptr<net::timer> timeout;
        base::time_point last_exchange{};
    };

    relay_time now() const;
    void pass_on(const std::string& sender_name, const relayed_command& relayed);
    void add_outcome(const std::string& sender_name, relayed_outcome outcome);
    void answer(sender& waiting);
    void drop_unresponsive_senders();

    net::event_loop& loop_;
    fleet::vm_control& vms_;
    std::string run_;
    base::suspend_aware_clock clock_;
    std::map<std::string, sender> senders_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
