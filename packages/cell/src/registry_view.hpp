// One daemon's view of the registry: its rows, and since when each has been unchanged by this
// daemon's own clock.
#pragma once

#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/cell/registry_rows.hpp>

#include <map>
#include <optional>

namespace cranberrydock::cell::detail {

struct observed_daemon {
    daemon_row row;                    // only the id is set while `version` is 0
    platform::row_version version;     // 0: a cell names this daemon as owner, but it has no row
    base::time_point unchanged_since;  // when this version was first *received* here
};

struct observed_cell {
    cell_row row;
    platform::row_version version;
    base::time_point unchanged_since;
};

class registry_view {
public:
    // After more than `max_scan_gap` without a scan, the unchanged times of all daemons' rows start
    // again.
    explicit registry_view(base::duration max_scan_gap) : max_scan_gap_(max_scan_gap) {}

    // Applies a scan that was sent at `sent` and received at `now`. Scans must come in the order of
    // sending.
    void apply_scan(const std::vector<platform::row>& rows, base::time_point sent,
                    base::time_point now);

    // Stores a cell row that this daemon has written itself.
    void put(const cell_row& row, platform::row_version version, base::time_point now);

    // Returns how long the daemon's row is known to have been unchanged: from the first receipt of
    // its version to the sending of the last scan. Neither a slow answer nor a suspension of this
    // process counts. Returns zero for a daemon that was never seen.
    base::duration unchanged_for(const base::daemon_id& id) const;

    const observed_cell* cell(const base::cell_id& id) const;
    const observed_daemon* daemon(const base::daemon_id& id) const;
    const std::map<base::cell_id, observed_cell>& cells() const { return cells_; }
    const std::map<base::daemon_id, observed_daemon>& daemons() const { return daemons_; }

    // When the first scan was received; nullopt before.
    std::optional<base::time_point> first_received() const { return first_received_; }

private:
    void reset_unchanged_times(base::time_point now);
    void apply_cell_row(const platform::row& stored, base::time_point now);
    void apply_daemon_row(const platform::row& stored, base::time_point now);
    void mark_missing(const std::vector<platform::row>& rows, base::time_point now);
    bool owns_cell(const base::daemon_id& id) const;

    base::duration max_scan_gap_;
    std::map<base::cell_id, observed_cell> cells_;
    std::map<base::daemon_id, observed_daemon> daemons_;
    base::time_point sent_;
    std::optional<base::time_point> received_;  // when the last scan was received
    std::optional<base::time_point> first_received_;
};

}  // namespace cranberrydock::cell::detail
