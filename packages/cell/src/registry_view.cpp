// Keeps the registry's rows and the times since when they are unchanged.
#include "registry_view.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace cranberrydock::cell::detail {

namespace {

bool has_prefix(const platform::row_key& key, const char* prefix) {
    return key.str().rfind(prefix, 0) == 0;
}

std::string id_of(const platform::row_key& key, const char* prefix) {
    return key.str().substr(std::string_view(prefix).size());
}

}  // namespace

void registry_view::apply_scan(const std::vector<platform::row>& rows, base::time_point sent,
                               base::time_point now) {
    // While the store could not be read, the owners could not renew either, so the gap proves
    // nothing.
    const bool gap = received_ && now - *received_ > max_scan_gap_;
    for (const auto& it : rows) {
        if (has_prefix(it.key, cell_prefix)) {
            apply_cell_row(it, now);
        } else if (has_prefix(it.key, daemon_prefix)) {
            apply_daemon_row(it, now);
        }
    }
    mark_missing(rows, now);
    if (gap) {
        reset_unchanged_times(now);
    }
    sent_ = sent;
    received_ = now;
    if (!first_received_) {
        first_received_ = now;
    }
}

void registry_view::reset_unchanged_times(base::time_point now) {
    for (auto& it : daemons_) {
        it.second.unchanged_since = now;
    }
}

void registry_view::apply_cell_row(const platform::row& stored, base::time_point now) {
    const auto* known = cell(base::cell_id(id_of(stored.key, cell_prefix)));
    if (known != nullptr && known->version >= stored.version) {
        return;
    }
    const auto decoded = decode_cell_row(stored.value);
    if (decoded) {
        put(*decoded, stored.version, now);
    }
}

void registry_view::put(const cell_row& row, platform::row_version version, base::time_point now) {
    auto& seen = cells_[row.id];
    // A scan may be older than a write of this daemon that is already known.
    if (version > seen.version) {
        seen = {row, version, now};
    }
}

void registry_view::apply_daemon_row(const platform::row& stored, base::time_point now) {
    const auto* known = daemon(base::daemon_id(id_of(stored.key, daemon_prefix)));
    if (known != nullptr && known->version >= stored.version) {
        return;
    }
    const auto decoded = decode_daemon_row(stored.value);
    if (decoded) {
        daemons_[decoded->id] = {*decoded, stored.version, now};
    }
}

bool registry_view::owns_cell(const base::daemon_id& id) const {
    return std::any_of(cells_.begin(), cells_.end(),
                       [&](const auto& it) { return it.second.row.owner == id; });
}

void registry_view::mark_missing(const std::vector<platform::row>& rows, base::time_point now) {
    std::set<platform::row_key> present;
    for (const auto& it : rows) {
        present.insert(it.key);
    }
    for (const auto& it : cells_) {
        const auto& owner = it.second.row.owner;
        if (!owner.empty() && daemons_.count(owner) == 0) {
            daemons_[owner] = {daemon_row{}, platform::row_version(0), now};
            daemons_[owner].row.id = owner;
        }
    }
    for (auto it = daemons_.begin(); it != daemons_.end();) {
        auto& seen = it->second;
        const bool missing = present.count(daemon_row_key(it->first)) == 0;
        if (missing && !owns_cell(it->first)) {
            it = daemons_.erase(it);
            continue;
        }
        if (missing && seen.version.value() != 0) {
            seen.version = platform::row_version(0);
            seen.unchanged_since = now;
        }
        ++it;
    }
}

base::duration registry_view::unchanged_for(const base::daemon_id& id) const {
    const auto* seen = daemon(id);
    if (seen == nullptr || sent_ < seen->unchanged_since) {
        return base::duration(0);
    }
    return sent_ - seen->unchanged_since;
}

const observed_cell* registry_view::cell(const base::cell_id& id) const {
    const auto it = cells_.find(id);
    return it != cells_.end() ? &it->second : nullptr;
}

const observed_daemon* registry_view::daemon(const base::daemon_id& id) const {
    const auto it = daemons_.find(id);
    return it != daemons_.end() ? &it->second : nullptr;
}

}  // namespace cranberrydock::cell::detail
