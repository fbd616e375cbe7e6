// Takeover hold-offs in both directions: those that other daemons have granted to this one while it
// can't renew, and those that this daemon has granted.
//
// A hold-off is the promise to take no cell from the requester for `duration`. The grantor keeps it
// even when the store becomes available to it again. The grantor counts `duration` from the receipt
// of the request and the requester from its sending; so the hold-off ends later at the grantor,
// whatever the delay.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include <map>
#include <set>

namespace cranberrydock::cell::detail {

// The hold-offs that this daemon has granted, and the requesters that it has refused.
class granted_hold_offs {
public:
    void grant(const base::daemon_id& requester, base::time_point until);
    bool active_for(const base::daemon_id& owner, base::time_point now) const;

    // Refused, because the owner can't reach a store that is available to this daemon.
    void refuse(const base::daemon_id& requester, base::time_point now) {
        refused_[requester] = now;
    }
    bool refused_since(const base::daemon_id& owner, base::time_point since) const;

private:
    std::map<base::daemon_id, base::time_point> until_;
    std::map<base::daemon_id, base::time_point> refused_;
};

// The hold-offs that other daemons have granted to this one.
class received_hold_offs {
public:
    explicit received_hold_offs(const ownership_settings& settings) : settings_(settings) {}

    bool may_request(base::time_point now) const { return now >= next_request_; }
    void request_sent(operation_id operation, base::time_point now);
    void received(const hold_off_answered& event);

    // Returns the time until which every daemon in `required` holds off, or the earliest time point
    // when one of them does not.
    base::time_point until(const std::set<base::daemon_id>& required) const;

private:
    ownership_settings settings_;
    std::map<operation_id, base::time_point> requests_;  // sending time of each
    std::map<base::daemon_id, base::time_point> until_;
    base::time_point next_request_ = base::time_point::min();
};

}  // namespace cranberrydock::cell::detail
