// What one daemon has seen of the registry: the rows, and since when each has stood unchanged on
// this daemon's own clock.
#pragma once

#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/cell/registry_rows.hpp>

#include <map>
#include <optional>

namespace cranberrydock::cell::detail {

struct seen_daemon {
    daemon_row row;                 // only the id is set while `version` is 0
    platform::row_version version;  // 0: a cell names it as owner, but it has no row
    base::time_point since;         // when this version was first *received* here
};

struct seen_cell {
    cell_row row;
    platform::row_version version;
    base::time_point since;
};

class registry_view {
public:
    // `watch_gap`: after a longer time without a scan the watch over unchanged rows starts anew.
    explicit registry_view(base::duration watch_gap) : watch_gap_(watch_gap) {}

    // A scan that was sent at `sent` and received at `now`. Scans come in the order of sending.
    void take_in(const std::vector<platform::row>& rows, base::time_point sent,
                 base::time_point now);

    // A cell row that this daemon has written itself.
    void put(const cell_row& row, platform::row_version version, base::time_point now);

    // How long the daemon's row is known to have stood unchanged: from the moment that its version
    // was first received to the moment that the last scan was sent, so neither a slow answer nor a
    // pause of this process counts as time. Zero for a daemon that was never seen.
    base::duration quiet(const base::daemon_id& id) const;

    const seen_cell* cell(const base::cell_id& id) const;
    const seen_daemon* daemon(const base::daemon_id& id) const;
    const std::map<base::cell_id, seen_cell>& cells() const { return cells_; }
    const std::map<base::daemon_id, seen_daemon>& daemons() const { return daemons_; }

    // When the first scan was received; nothing before.
    std::optional<base::time_point> first_received() const { return first_received_; }

private:
    void restart_watch(base::time_point now);
    void take_in_cell(const platform::row& one, base::time_point now);
    void take_in_daemon(const platform::row& one, base::time_point now);
    void mark_missing(const std::vector<platform::row>& rows, base::time_point now);
    bool owns_cell(const base::daemon_id& id) const;

    base::duration watch_gap_;
    std::map<base::cell_id, seen_cell> cells_;
    std::map<base::daemon_id, seen_daemon> daemons_;
    base::time_point sent_;
    std::optional<base::time_point> received_;  // of the last scan
    std::optional<base::time_point> first_received_;
};

}  // namespace cranberrydock::cell::detail
