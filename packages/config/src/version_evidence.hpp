// What is known of when which version was the newest.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace cranberrydock::config::detail {

// A claim (V, t) says: at a moment not before t, V was the newest version. Versions only grow, so
// whoever has V or a later one in force had, at t, nothing newer to know.
class version_evidence {
public:
    void claim(base::config_version version, base::time_point at) {
        const auto it = open_.emplace(version, at).first;
        it->second = std::max(it->second, at);
        highest_ = std::max(highest_, version);
    }

    // The highest version that is known to exist, whether or not it is in force here yet.
    base::config_version highest() const { return highest_; }

    // Whether some claim is met by having `version`.
    bool supports(base::config_version version) const {
        return newest_at_.has_value() || (!open_.empty() && !(version < open_.begin()->first));
    }

    // `version` is in force: claims up to it are met.
    void reached(base::config_version version) {
        while (!open_.empty() && !(version < open_.begin()->first)) {
            const base::time_point at = open_.begin()->second;
            newest_at_ = newest_at_ ? std::max(*newest_at_, at) : at;
            open_.erase(open_.begin());
        }
    }

    std::optional<base::time_point> newest_at() const { return newest_at_; }

private:
    std::map<base::config_version, base::time_point> open_;  // not met yet
    std::optional<base::time_point> newest_at_;              // the latest that was met
    base::config_version highest_;
};

}  // namespace cranberrydock::config::detail
