// The evidence of one daemon of which version was the newest at which time.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace cranberrydock::config::detail {

// A claim (V, t) states that V was the newest version at some time at or after t. Version numbers
// only grow, so a daemon with V or a later version in force was up to date at t.
class version_evidence {
public:
    void add_claim(base::config_version version, base::time_point at) {
        const auto it = pending_claims_.emplace(version, at).first;
        it->second = std::max(it->second, at);
        highest_ = std::max(highest_, version);
    }

    // The highest version of all claims, in force here or not.
    base::config_version highest() const { return highest_; }

    // Returns true if any claim about `version` or an earlier version has been added.
    bool supports(base::config_version version) const {
        return newest_at_.has_value() ||
               (!pending_claims_.empty() && !(version < pending_claims_.begin()->first));
    }

    // Records that `version` is in force, which settles all claims about versions up to it.
    void mark_in_force(base::config_version version) {
        while (!pending_claims_.empty() && !(version < pending_claims_.begin()->first)) {
            const base::time_point at = pending_claims_.begin()->second;
            newest_at_ = newest_at_ ? std::max(*newest_at_, at) : at;
            pending_claims_.erase(pending_claims_.begin());
        }
    }

    std::optional<base::time_point> newest_at() const { return newest_at_; }

private:
    std::map<base::config_version, base::time_point> pending_claims_;  // of versions not in force
    std::optional<base::time_point> newest_at_;  // the latest time of the settled claims
    base::config_version highest_;
};

}  // namespace cranberrydock::config::detail
