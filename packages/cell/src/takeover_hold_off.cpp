// Takeover hold-offs.
#include "takeover_hold_off.hpp"

#include <algorithm>

namespace cranberrydock::cell::detail {

void granted_hold_offs::grant(const base::daemon_id& requester, base::time_point until) {
    auto& it = until_[requester];
    it = std::max(it, until);
}

bool granted_hold_offs::active_for(const base::daemon_id& owner, base::time_point now) const {
    const auto it = until_.find(owner);
    return it != until_.end() && now < it->second;
}

bool granted_hold_offs::refused_since(const base::daemon_id& owner, base::time_point since) const {
    const auto it = refused_.find(owner);
    return it != refused_.end() && it->second >= since;
}

void received_hold_offs::request_sent(operation_id operation, base::time_point now) {
    next_request_ = now + settings_.scan_period;
    requests_[operation] = now;
    // An answer to a request older than a lease can't extend anything.
    for (auto it = requests_.begin(); it != requests_.end();) {
        it = now - it->second > settings_.lease ? requests_.erase(it) : std::next(it);
    }
}

void received_hold_offs::received(const hold_off_answered& event) {
    const auto it = requests_.find(event.operation);
    if (it == requests_.end() || !event.granted) {
        return;
    }
    // A grantor that restarts forgets its hold-off, but then observes the rows for a full lease
    // before it takes any cell. A longer hold-off would not be safe.
    const auto lasting = std::min(event.duration, settings_.lease);
    auto& until = until_[event.from];
    until = std::max(until, it->second + lasting - settings_.safety_margin);
}

base::time_point received_hold_offs::until(const std::set<base::daemon_id>& required) const {
    auto result = base::time_point::max();
    for (const auto& id : required) {
        const auto it = until_.find(id);
        result = std::min(result, it != until_.end() ? it->second : base::time_point::min());
    }
    return result;
}

}  // namespace cranberrydock::cell::detail
