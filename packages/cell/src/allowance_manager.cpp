// The state machine that manages one cell's parts.
#include <cranberrydock/cell/allowance_manager.hpp>

#include <algorithm>
#include <set>

namespace cranberrydock::cell {

using base::slot_count;

std::vector<allowance_effect> allowance_manager::handle(const allowance_event& event,
                                                        base::time_point now) {
    out_.clear();
    std::map<base::team_id, slot_count> before;
    for (const auto& it : teams_) {
        before[it.first] = startable_slots(it.second);
    }
    std::visit([&](const auto& alternative) { on(alternative, now); }, event);
    for (auto& it : teams_) {
        write(it.second, now);
    }
    scan(now);
    for (const auto& it : teams_) {
        if (startable_slots(it.second) > before[it.first]) {
            out_.push_back(allowance_increased{it.first});
        }
    }
    return std::exchange(out_, {});
}

// ---- usable slots

slot_count allowance_manager::startable_slots(const base::team_id& team) const {
    const auto it = teams_.find(team);
    return it != teams_.end() ? startable_slots(it->second) : slot_count(0);
}

slot_count allowance_manager::startable_slots(const team_state& team) const {
    if (!team.row_known) {
        return slot_count(0);
    }
    const auto bound =
        std::min(secured_slots(team), start_bound(team.row, team.upper_limit, demand_of(team)));
    const auto free = bound - team.running - team.unreported;
    return std::max(slot_count(0), free);
}

slot_count allowance_manager::start_limit(const base::team_id& team) const {
    const auto it = teams_.find(team);
    if (it == teams_.end() || !it->second.row_known) {
        return slot_count(0);
    }
    const auto& state = it->second;
    return std::min(secured_slots(state),
                    start_bound(state.row, state.upper_limit, demand_of(state)));
}

slot_count allowance_manager::secured_slots(const team_state& team) const {
    auto result = part_of(team.row, settings_.cell).slots;
    if (team.in_flight) {
        result = std::min(result, part_of(team.in_flight->row, settings_.cell).slots);
    }
    for (const auto& it : team.unanswered) {
        result = std::min(result, part_of(it.row, settings_.cell).slots);
    }
    return result;
}

allowance_demand allowance_manager::demand_of(const team_state& team) const {
    const auto in_use = team.running + team.unreported;
    return {settings_.cell, in_use, std::max(team.running + team.queued, team.peak), team.reserve};
}

// ---- events

void allowance_manager::on(const tick&, base::time_point now) {
    for (auto& it : teams_) {
        auto& team = it.second;
        if (now - team.peak_since >= settings_.idle_time) {
            team.peak = team.running + team.queued;
            team.peak_since = now;
        }
    }
}

void allowance_manager::on(const limits_changed& event, base::time_point) {
    for (auto& it : teams_) {
        it.second.upper_limit = slot_count(0);
        it.second.reserve = slot_count(0);
    }
    for (const auto& it : event.limits) {
        auto& team = state_of(it.team);
        team.upper_limit = it.upper_limit;
        team.reserve = it.reserve;
    }
}

void allowance_manager::on(const demand_changed& event, base::time_point now) {
    for (const auto& it : event.teams) {
        auto& team = state_of(it.team);
        team.running = it.running;
        team.unreported = it.unreported;
        team.queued = it.queued;
        const auto wanted = it.running + it.queued;
        if (wanted >= team.peak) {
            team.peak = wanted;
            team.peak_since = now;
        }
    }
}

void allowance_manager::on(const allowances_scanned& event, base::time_point) {
    if (scan_operation_ != event.operation) {
        return;
    }
    scan_operation_.reset();
    if (!event.rows) {
        return;
    }
    std::set<base::team_id> seen;
    for (const auto& it : *event.rows) {
        const auto row = decode_allowance(it.value);
        if (row) {
            seen.insert(row->team);
            apply_row(state_of(row->team), *row, it.version);
        }
    }
    for (auto& it : teams_) {
        if (seen.count(it.first) == 0) {
            apply_row(it.second, {it.first, {}}, platform::row_version(0));
        }
    }
}

void allowance_manager::apply_row(team_state& team, const allowance_row& row,
                                  platform::row_version version) {
    // Rows are never deleted, so a lower version is an older one.
    if (!team.row_known || version > team.version) {
        team.row = row;
        team.version = version;
        team.row_known = true;
        auto& unanswered = team.unanswered;
        unanswered.erase(std::remove_if(unanswered.begin(), unanswered.end(),
                                        [&](const auto& it) { return it.condition < version; }),
                         unanswered.end());
    }
    if (!team.row_certain && !team.in_flight && scan_sent_ >= team.uncertain_since) {
        team.row_certain = true;
    }
}

void allowance_manager::on(const commit_finished& event, base::time_point now) {
    for (auto& it : teams_) {
        if (it.second.operation == event.operation) {
            finish_write(it.second, event, now);
            return;
        }
    }
}

void allowance_manager::finish_write(team_state& team, const commit_finished& event,
                                     base::time_point now) {
    auto sent = std::move(*team.in_flight);
    team.operation.reset();
    team.in_flight.reset();
    if (event.result) {
        apply_row(team, sent.row, event.result->versions.front());
        return;
    }
    if (event.result.error() == platform::store_error::unavailable) {
        return;
    }
    if (event.result.error() == platform::store_error::answer_lost &&
        sent.condition == team.version) {
        team.unanswered.push_back(std::move(sent));
    }
    team.row_certain = false;
    team.uncertain_since = now;
    next_scan_ = now;
}

// ---- effects

void allowance_manager::write(team_state& team, base::time_point now) {
    if (!team.row_certain || team.in_flight || now < team.next_write) {
        return;
    }
    auto next = next_row(team.row, team.upper_limit, demand_of(team));
    if (!next && !team.unanswered.empty()) {
        next = team.row;  // once this new version is written, no unanswered write can be applied
    }
    if (!next) {
        return;
    }
    const auto key = allowance_row_key(team.row.team);
    team.operation = operation_ = operation_.next();
    team.in_flight = sent_write{team.version, *next};
    team.next_write = now + settings_.write_interval;
    out_.push_back(
        commit{operation_, {{{key, team.version}, settings_.guard}, {{key, encode(*next)}}}});
}

void allowance_manager::scan(base::time_point now) {
    if (scan_operation_ || now < next_scan_) {
        return;
    }
    scan_operation_ = operation_ = operation_.next();
    scan_sent_ = now;
    next_scan_ = now + settings_.scan_period;
    out_.push_back(scan_allowances{operation_});
}

allowance_manager::team_state& allowance_manager::state_of(const base::team_id& team) {
    const auto it = teams_.find(team);
    if (it != teams_.end()) {
        return it->second;
    }
    auto& created = teams_[team];
    created.row.team = team;
    return created;
}

}  // namespace cranberrydock::cell
