// Promises of silence, both ways: what others have promised to this daemon while it can't renew,
// and what it has promised to them.
//
// "I take nothing from you for `lasting`." The promiser keeps it even when the store comes back to
// it. It counts `lasting` from the question's receipt and the
// asker from the question's sending, so it ends later at the promiser, whatever the delay.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include <map>
#include <set>

namespace cranberrydock::cell::detail {

// What this daemon has promised, and whom it has refused.
class promises_given {
public:
    void give(const base::daemon_id& to, base::time_point until);
    bool silent_towards(const base::daemon_id& owner, base::time_point now) const;

    // Refused: the owner can't reach a store that is there for us.
    void refuse(const base::daemon_id& to, base::time_point now) { refused_[to] = now; }
    bool refused_since(const base::daemon_id& owner, base::time_point since) const;

private:
    std::map<base::daemon_id, base::time_point> until_;
    std::map<base::daemon_id, base::time_point> refused_;
};

// What others have promised to this daemon.
class promises_held {
public:
    explicit promises_held(const ownership_settings& settings) : settings_(settings) {}

    bool may_ask(base::time_point now) const { return now >= next_question_; }
    void asked(operation_id operation, base::time_point now);
    void received(const promise_received& event);

    // Until when every one of `required` is silent; the smallest time when one is not.
    base::time_point until(const std::set<base::daemon_id>& required) const;

private:
    ownership_settings settings_;
    std::map<operation_id, base::time_point> questions_;  // when each was sent
    std::map<base::daemon_id, base::time_point> until_;
    base::time_point next_question_ = base::time_point::min();
};

}  // namespace cranberrydock::cell::detail
