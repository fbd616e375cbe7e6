// The owner's conversation with one VM: renews the lease on everything that runs there, hears of
// what runs and what has ended, and knows when whatever ran there must have stopped.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/lifetime.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberrydock::steward {

struct session_settings {
    base::milliseconds lease{4'500};          // given with each renewal
    base::milliseconds longest_lease{6'000};  // that a VM accepts
    base::milliseconds wait{700};             // the VM may keep a renewal open until something ends
    base::milliseconds retry_pause{150};
    // After a report with ends the VM is not asked before they are durable, which is looked at so
    // often: its next report would come at once and list the same ends.
    base::milliseconds ends_pause{20};
    // It is asked all the same after so long: the store is slow or away.
    base::milliseconds unsaved_pause{250};
};

class session_listener {
public:
    virtual ~session_listener() = default;
    virtual void on_report(const fleet::vm_id& vm, const fleet::vm_report& report,
                           base::time_point asked) = 0;
    virtual void on_reachable(const fleet::vm_id& vm, bool reachable) = 0;
    // Nothing of before runs on that VM any more. `gone`: it will not be back either.
    virtual void on_lost(const fleet::vm_id& vm, const std::string& reason, bool gone) = 0;
    // The process that ran the VM's tasks has ended.
    virtual void on_ended(const fleet::vm_id& vm) = 0;
    // Another incarnation answers for the VM. Nothing of before runs there, but for what was
    // ordered since: a report will tell.
    virtual void on_reborn(const fleet::vm_id& vm) = 0;
    virtual void on_higher_fence(const fleet::vm_id& vm) = 0;
    // Ends up to this number are durable.
    virtual fleet::end_number acknowledgeable(const fleet::vm_id& vm) = 0;
    // Whether orders may be given at this moment.
    virtual bool may_order() = 0;
};

class vm_session {
public:
    vm_session(net::event_loop& loop, fleet::vm_control& vms, const fleet::vm_facts& facts,
               fleet::fence owner, const session_settings& settings, session_listener& listener);

    const fleet::vm_facts& facts() const { return facts_; }
    void start();
    void update(const fleet::vm_facts& facts);
    // The member list does not show the VM any more.
    void unlisted();
    bool listed() const { return listed_; }
    bool heard() const { return heard_.has_value(); }

    // The lease that an order given now carries.
    fleet::vm_time lease_from_now();
    // Another incarnation of the VM has taken its place.
    void other_incarnation();
    // An order named this VM, and another one answers at its address: this one has ended.
    void address_taken();
    // Whether every lease that was given must have run out.
    bool lapsed(base::time_point now) const;

private:
    struct clock_reading {
        fleet::vm_time vm;
        base::time_point local;
    };

    void ask();
    void answered(base::time_point asked, const fleet::vm_report& report);
    void failed(fleet::order_failure failure);
    void check_lapse();
    void ask_when_saved(base::time_point latest);
    void again(base::milliseconds pause);

    net::event_loop& loop_;
    fleet::vm_control& vms_;
    fleet::vm_facts facts_;
    fleet::fence owner_;
    session_settings settings_;
    session_listener& listener_;
    base::suspend_aware_clock clock_;
    std::optional<clock_reading> heard_;
    fleet::boot_time boot_;
    fleet::vm_time lease_until_;  // the latest that any order carried
    // Orders meant for an earlier incarnation may have given this one a lease.
    base::time_point lapses_not_before_{};
    fleet::end_number last_listed_;  // of the ends in the last report
    int failures_ = 0;               // in a row
    int refusals_ = 0;               // in a row: nothing listens there
    bool listed_ = true;
    bool lapse_reported_ = false;
    std::unique_ptr<net::timer> next_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
