// The VMs of a large fleet, reached through other daemons. An owner that calls each VM itself
// spends its core on that: at 1,100 VMs some 4,000 calls a second. So the orders to the VMs of an
// availability zone go to relays there, many in one call, and their outcomes come back the same
// way. Orders to the VMs of a small fleet, or of a zone without a daemon, go there directly.
//
// Nothing is assumed of a relay but that what it tells is true. One that does not answer, restarts
// or is slow is left out for a while; what it was handed and has not told of may be carried out or
// not, like an order whose answer was lost.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/lifetime.hpp>
#include <cranberrydock/steward/peer_calls.hpp>
#include <cranberrydock/steward/relayed_orders.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::steward {

// A daemon that may carry out orders.
struct relay_candidate {
    std::shared_ptr<peer> way;
    fleet::zone_name zone;
    double strength = 0;  // cores that it may use
};

struct relay_settings {
    std::size_t least_vms = 400;      // of a fleet that is reached through relays
    std::size_t vms_per_relay = 100;  // about
    // Two exchanges with one relay lie so far apart, times the number of relays: the owner pays for
    // the sum of them.
    base::duration pause_per_relay{1'500};
    // An order is passed on by its relay within so long, or not at all.
    base::milliseconds order_life{600};
    // A relay that has failed gets no orders for so long.
    base::milliseconds avoid_after_failure{2'000};
};

class relayed_vms final : public fleet::vm_control {
public:
    // `name`: of this process, the same in no other.
    relayed_vms(net::event_loop& loop, fleet::vm_control& direct, std::string name,
                const relay_settings& settings, base::metrics& metrics);
    ~relayed_vms() override;
    relayed_vms(const relayed_vms&) = delete;
    relayed_vms& operator=(const relayed_vms&) = delete;

    // The other daemons, by the names of their VMs.
    void set_candidates(const std::map<std::string, relay_candidate>& candidates);
    // How many VMs the fleet has.
    void set_vm_count(std::size_t count);
    // Drops the orders that no relay has been handed yet: this daemon is not the owner any more.
    void drop_waiting();

    void start(const fleet::vm_facts& vm, fleet::fence owner, const fleet::start_order& order,
               fleet::start_done done) override;
    void stop(const fleet::vm_facts& vm, fleet::fence owner, const fleet::task_ref& task,
              fleet::run_number run, fleet::stop_done done) override;
    void watch(const fleet::vm_facts& vm, fleet::fence owner, const fleet::watch_order& order,
               fleet::watch_done done) override;

private:
    struct open_order;
    struct channel;

    void send(open_order order);
    void send_directly(const open_order& order);
    channel* channel_to(const fleet::vm_facts& vm);
    void choose_relays();
    void drop_idle_channels();
    void flush_later(channel& to);
    void exchange(channel& with);
    void exchanged(channel& with, const std::vector<order_number>& sent, const outcome_batch& what);
    void exchange_failed(channel& with, const std::vector<order_number>& sent, bool not_sent);
    void learn_clock(channel& of, const outcome_batch& what);
    void take(channel& from, const relayed_outcome& outcome);
    void send_again(channel& from, const std::vector<order_number>& numbers);
    void avoid(channel& one, const char* reason);
    void give_up_overdue();
    base::duration pause() const;

    net::event_loop& loop_;
    fleet::vm_control& direct_;
    std::string name_;
    relay_settings settings_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, relay_candidate> candidates_;
    std::size_t vm_count_ = 0;
    order_number last_number_;
    std::map<std::string, std::unique_ptr<channel>> channels_;  // by the relays' names
    // Of each zone: relays in the order of preference, and how many of them are used at a time.
    struct zone_relays {
        std::vector<channel*> relays;
        std::size_t used = 0;
    };
    std::map<fleet::zone_name, zone_relays> zones_;
    std::size_t used_relays_ = 0;
    std::unique_ptr<net::timer> sweep_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
