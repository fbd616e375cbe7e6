// Manages one cell's parts of the teams' upper limits. A pure state machine, run by the cell's
// owner: events come in with the time, and effects state what to read and write.
//
// Why no team exceeds its limit: this cell never uses more than the store holds for it. An increase
// counts once it is confirmed or read back. A reduction counts as soon as it is sent; after a lost
// answer it counts until the row has another version, because the write may still be applied late.
// Every write is conditional on the row's version and on the cell's guard row, so an owner that has
// been replaced can't write. During a store outage the parts stay as they are.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/allowance.hpp>
#include <cranberrydock/cell/ownership.hpp>

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace cranberrydock::cell {

struct allowance_settings {
    base::cell_id cell;
    platform::row_condition guard;  // from cell_gained
    base::milliseconds scan_period{2'000};
    base::milliseconds write_interval{250};  // between two writes of one team's row
    base::milliseconds idle_time{10'000};    // after this time without demand, a part is returned
};

// ---- events

struct team_limit {
    base::team_id team;
    base::slot_count upper_limit;
    base::slot_count reserve;  // for this cell; see allowance_demand
};

// The limits of the configuration in force. A team that is missing has a limit of zero.
struct limits_changed {
    std::vector<team_limit> limits;
};

// This cell's use of one team's slots, and its demand for more.
struct team_demand {
    base::team_id team;
    base::slot_count running;
    base::slot_count unreported;  // all slots of the VMs without a report to this owner yet
    base::slot_count queued;      // more slots that could be started
};

// Sent whenever one of the values changes. A start counts as running before its command is sent.
struct demand_changed {
    std::vector<team_demand> teams;
};

struct allowances_scanned {
    operation_id operation;
    tl::expected<std::vector<platform::row>, platform::store_error> rows;
};

using allowance_event =
    std::variant<tick, limits_changed, demand_changed, allowances_scanned, commit_finished>;

// ---- effects

// Scan all rows with the prefix "allowance/".
struct scan_allowances {
    operation_id operation;
};

// The team's `startable_slots` slots may have increased.
struct allowance_increased {
    base::team_id team;
};

using allowance_effect = std::variant<scan_allowances, commit, allowance_increased>;

class allowance_manager {
public:
    explicit allowance_manager(const allowance_settings& settings) : settings_(settings) {}

    // Processes one event and returns its effects in order.
    std::vector<allowance_effect> handle(const allowance_event& event, base::time_point now);

    // Returns how many slots may be started now, in addition to the running ones and to those that
    // VMs without a report may be running. Check this before each start, and report the start by
    // demand_changed before the next check.
    base::slot_count startable_slots(const base::team_id& team) const;

    // The same limit as a total: no start may bring running and unheard slots together above it.
    base::slot_count start_limit(const base::team_id& team) const;

private:
    // A write whose result is pending, or whose answer was lost.
    struct sent_write {
        platform::row_version condition;
        allowance_row row;
    };
    struct team_state {
        base::slot_count upper_limit;
        base::slot_count reserve;
        base::slot_count running;
        base::slot_count unreported;
        base::slot_count queued;
        // The highest demand within the idle time, and the time at which it was first seen.
        base::slot_count peak;
        base::time_point peak_since{};
        allowance_row row;
        platform::row_version version{0};
        bool row_known = false;    // a scan has read the row
        bool row_certain = false;  // no later result makes `row` uncertain
        base::time_point uncertain_since{};
        base::time_point next_write{};
        std::optional<operation_id> operation;  // of `in_flight`
        std::optional<sent_write> in_flight;
        // Writes whose answers were lost. They may be applied while `version` is current.
        std::vector<sent_write> unanswered;
    };

    void on(const tick& event, base::time_point now);
    void on(const limits_changed& event, base::time_point now);
    void on(const demand_changed& event, base::time_point now);
    void on(const allowances_scanned& event, base::time_point now);
    void on(const commit_finished& event, base::time_point now);

    void apply_row(team_state& team, const allowance_row& row, platform::row_version version);
    void finish_write(team_state& team, const commit_finished& event, base::time_point now);
    void write(team_state& team, base::time_point now);
    void scan(base::time_point now);
    // Returns the slots that the store is certain to hold for this cell, whatever becomes of the
    // pending and unanswered writes.
    base::slot_count secured_slots(const team_state& team) const;
    base::slot_count startable_slots(const team_state& team) const;
    allowance_demand demand_of(const team_state& team) const;
    team_state& state_of(const base::team_id& team);

    allowance_settings settings_;
    std::map<base::team_id, team_state> teams_;
    operation_id operation_;
    std::optional<operation_id> scan_operation_;
    base::time_point scan_sent_;
    base::time_point next_scan_ = base::time_point::min();
    std::vector<allowance_effect> out_;
};

}  // namespace cranberrydock::cell
