// Promises of silence.
#include "silence.hpp"

#include <algorithm>

namespace cranberrydock::cell::detail {

void promises_given::give(const base::daemon_id& to, base::time_point until) {
    auto& it = until_[to];
    it = std::max(it, until);
}

bool promises_given::silent_towards(const base::daemon_id& owner, base::time_point now) const {
    const auto it = until_.find(owner);
    return it != until_.end() && now < it->second;
}

bool promises_given::refused_since(const base::daemon_id& owner, base::time_point since) const {
    const auto it = refused_.find(owner);
    return it != refused_.end() && it->second >= since;
}

void promises_held::asked(operation_id operation, base::time_point now) {
    next_question_ = now + settings_.scan_period;
    questions_[operation] = now;
    // An answer to a question older than a lease can't extend anything.
    for (auto it = questions_.begin(); it != questions_.end();) {
        it = now - it->second > settings_.lease ? questions_.erase(it) : std::next(it);
    }
}

void promises_held::received(const promise_received& event) {
    const auto it = questions_.find(event.operation);
    if (it == questions_.end() || !event.given) {
        return;
    }
    // A promiser that restarts forgets its promise, but then watches for a whole lease before it
    // takes anything: a longer promise would not be safe.
    const auto lasting = std::min(event.lasting, settings_.lease);
    auto& until = until_[event.from];
    until = std::max(until, it->second + lasting - settings_.safety_margin);
}

base::time_point promises_held::until(const std::set<base::daemon_id>& required) const {
    auto result = base::time_point::max();
    for (const auto& id : required) {
        const auto it = until_.find(id);
        result = std::min(result, it != until_.end() ? it->second : base::time_point::min());
    }
    return result;
}

}  // namespace cranberrydock::cell::detail
