// Keeps one cell's parts of the teams' upper limits, as a pure state machine of the cell's owner:
// events come in with the time, effects say what to read and write.
//
// Why no team gets above its limit: what this cell counts on is never more than what the store has
// for it. A raise counts once it is confirmed or read back; a reduction counts from the moment that
// it is sent, and after a lost answer until the row has another version, so that it can't be
// applied late. Every write is conditional on the row's version and on the cell's guard row, so an
// owner that was replaced writes nothing. While the store is down nothing moves.
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
    platform::row_condition guard;  // of cell_gained
    base::milliseconds scan_period{2'000};
    base::milliseconds write_interval{250};  // between two writes of one team's row
    base::milliseconds idle_time{10'000};    // a part that was not wanted for so long goes back
};

// ---- events

struct team_limit {
    base::team_id team;
    base::slot_count upper_limit;
    base::slot_count reserve;  // of this cell; see allowance_demand
};

// The limits of the configuration in force. A team that is not named has a limit of zero.
struct limits_known {
    std::vector<team_limit> limits;
};

// What the cell holds and wants of one team.
struct team_demand {
    base::team_id team;
    base::slot_count running;
    base::slot_count unheard;  // all slots of the VMs that this owner has not heard from yet
    base::slot_count queued;   // that could be started besides
};

// Whenever one of them changes. Starts that are under way count as running from before they are
// sent.
struct demand_changed {
    std::vector<team_demand> teams;
};

struct allowances_scanned {
    operation_id operation;
    tl::expected<std::vector<platform::row>, platform::store_error> rows;
};

using allowance_event =
    std::variant<tick, limits_known, demand_changed, allowances_scanned, commit_finished>;

// ---- effects

// Scan all rows "allowance/".
struct scan_allowances {
    operation_id operation;
};

// A team's usable() may have grown.
struct allowance_grown {
    base::team_id team;
};

using allowance_effect = std::variant<scan_allowances, commit, allowance_grown>;

class allowance_keeper {
public:
    explicit allowance_keeper(const allowance_settings& settings) : settings_(settings) {}

    std::vector<allowance_effect> handle(const allowance_event& event, base::time_point now);

    // How many slots may be started now, besides what is running and what unheard VMs may run:
    // look here before each start, and tell the start by demand_changed before the next look.
    base::slot_count usable(const base::team_id& team) const;

    // The same as a total: no start may bring running and unheard slots together above it.
    base::slot_count bound(const base::team_id& team) const;

private:
    // A write whose result is not known yet, or never will be.
    struct sent_write {
        platform::row_version condition;
        allowance_row row;
    };
    struct team_state {
        base::slot_count upper_limit;
        base::slot_count reserve;
        base::slot_count running;
        base::slot_count unheard;
        base::slot_count queued;
        // The most that was wanted within the idle time, and since when that stands.
        base::slot_count peak;
        base::time_point peak_since{};
        allowance_row row;
        platform::row_version version{0};
        bool known = false;    // a scan has told the row
        bool certain = false;  // no result since then puts it in doubt
        base::time_point doubt_since{};
        base::time_point next_write{};
        std::optional<operation_id> operation;  // of `in_flight`
        std::optional<sent_write> in_flight;
        std::vector<sent_write> lost;  // without an answer; may be applied while `version` stands
    };

    void on(const tick& event, base::time_point now);
    void on(const limits_known& event, base::time_point now);
    void on(const demand_changed& event, base::time_point now);
    void on(const allowances_scanned& event, base::time_point now);
    void on(const commit_finished& event, base::time_point now);

    void take_in(team_state& team, const allowance_row& row, platform::row_version version);
    void finish_write(team_state& team, const commit_finished& event, base::time_point now);
    void write(team_state& team, base::time_point now);
    void scan(base::time_point now);
    base::slot_count held(const team_state& team) const;
    base::slot_count usable(const team_state& team) const;
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
