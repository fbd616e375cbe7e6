// Keeping the registry's rows and their unchanged times.
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

void registry_view::take_in(const std::vector<platform::row>& rows, base::time_point sent,
                            base::time_point now) {
    // While nothing could be read, the owners could not renew either: that time proves nothing.
    const bool gap = received_ && now - *received_ > watch_gap_;
    for (const auto& it : rows) {
        if (has_prefix(it.key, cell_prefix)) {
            take_in_cell(it, now);
        } else if (has_prefix(it.key, daemon_prefix)) {
            take_in_daemon(it, now);
        }
    }
    mark_missing(rows, now);
    if (gap) {
        restart_watch(now);
    }
    sent_ = sent;
    received_ = now;
    if (!first_received_) {
        first_received_ = now;
    }
}

void registry_view::restart_watch(base::time_point now) {
    for (auto& it : daemons_) {
        it.second.since = now;
    }
}

void registry_view::take_in_cell(const platform::row& one, base::time_point now) {
    const auto* known = cell(base::cell_id(id_of(one.key, cell_prefix)));
    if (known != nullptr && known->version >= one.version) {
        return;
    }
    const auto decoded = decode_cell_row(one.value);
    if (decoded) {
        put(*decoded, one.version, now);
    }
}

void registry_view::put(const cell_row& row, platform::row_version version, base::time_point now) {
    auto& seen = cells_[row.id];
    // A scan may have been answered before a write of ours that is known already.
    if (version > seen.version) {
        seen = {row, version, now};
    }
}

void registry_view::take_in_daemon(const platform::row& one, base::time_point now) {
    const auto* known = daemon(base::daemon_id(id_of(one.key, daemon_prefix)));
    if (known != nullptr && known->version >= one.version) {
        return;
    }
    const auto decoded = decode_daemon_row(one.value);
    if (decoded) {
        daemons_[decoded->id] = {*decoded, one.version, now};
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
            seen.since = now;
        }
        ++it;
    }
}

base::duration registry_view::quiet(const base::daemon_id& id) const {
    const auto* seen = daemon(id);
    if (seen == nullptr || sent_ < seen->since) {
        return base::duration(0);
    }
    return sent_ - seen->since;
}

const seen_cell* registry_view::cell(const base::cell_id& id) const {
    const auto it = cells_.find(id);
    return it != cells_.end() ? &it->second : nullptr;
}

const seen_daemon* registry_view::daemon(const base::daemon_id& id) const {
    const auto it = daemons_.find(id);
    return it != daemons_.end() ? &it->second : nullptr;
}

}  // namespace cranberrydock::cell::detail
