// Carries out orders to VMs for an owner that has too many of them to call itself. An exchange
// stays open until there are outcomes to tell, so that the owner hears of them at once and many of
// them together.
//
// The relay decides nothing. Each order carries its owner's fence, which VMs check, and a time on
// this relay's clock after which it is not passed on: a relay that was paused does nothing on
// behalf of an owner that may have been replaced meanwhile.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/lifetime.hpp>
#include <cranberrydock/steward/relayed_orders.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cranberrydock::steward {

// How long an exchange stays open when there is nothing to tell.
constexpr base::milliseconds longest_exchange{250};

class order_relay {
public:
    // `run`: of this process.
    order_relay(net::event_loop& loop, fleet::vm_control& vms, std::string run);

    // Calls `done` once, within `longest_exchange`.
    void exchange(const order_batch& batch, exchange_done done);

private:
    // What is done for one owner's process.
    struct sender {
        std::vector<relayed_outcome> ready;
        exchange_done open;  // the exchange that waits; empty: none does
        std::unique_ptr<net::timer> flush;
        std::unique_ptr<net::timer> timeout;
        base::time_point last_heard{};
    };

    relay_time now() const;
    void carry_out(const std::string& from, const relayed_order& order);
    void add(const std::string& from, relayed_outcome outcome);
    void answer(sender& to);
    void forget_silent();

    net::event_loop& loop_;
    fleet::vm_control& vms_;
    std::string run_;
    base::suspend_aware_clock clock_;
    std::map<std::string, sender> senders_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
