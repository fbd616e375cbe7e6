// The event handlers of the ownership state machine.
#include "ownership_machine.hpp"

#include <algorithm>

namespace cranberrydock::cell {

using detail::drain_state;
using platform::store_error;

namespace {

// A store that has not answered for this many scan periods counts as unavailable.
constexpr int scans_until_unavailable = 2;
// After this many scan periods without a scan, the unchanged times of other daemons' rows start
// again.
constexpr int scans_until_gap = 3;

}  // namespace

ownership::machine::machine(const ownership_settings& settings)
    : settings_(settings),
      succession_(settings),
      view_(scans_until_gap * settings.scan_period),
      lease_(settings),
      received_hold_offs_(settings) {}

std::vector<ownership_effect> ownership::machine::handle(const ownership_event& event,
                                                         base::time_point now) {
    out_.clear();
    if (!finished_) {
        std::visit([&](const auto& alternative) { on(alternative, now); }, event);
        advance(now);
    }
    return std::exchange(out_, {});
}

void ownership::machine::on(const tick&, base::time_point) {}

void ownership::machine::on(const cells_configured& event, base::time_point now) {
    cells_ = event.cells;
    for (const auto& it : cells_) {
        configured_since_.emplace(it.id, now);
    }
    for (auto& it : owned_) {
        if (!configured(it.first)) {
            drain(it.first, it.second);
        }
    }
}

void ownership::machine::on(const registry_scanned& event, base::time_point now) {
    if (scan_operation_ != event.operation) {
        return;
    }
    scan_operation_.reset();
    record_store_result(event.rows.has_value(), now);
    if (!event.rows) {
        return;
    }
    view_.apply_scan(*event.rows, scan_sent_, now);
    resolve_own_row(scan_sent_);
    find_lost_cells();
    resolve_claims(now);
    just_scanned_ = true;
}

void ownership::machine::on(const commit_finished& event, base::time_point now) {
    record_store_result(event.result.has_value() || event.result.error() == store_error::conflict,
                        now);
    if (lease_.is_own_operation(event.operation)) {
        const auto applied = lease_.finished(event.result, now);
        if (applied) {
            apply(*applied);
        } else if (!lease_.version_known()) {
            next_scan_ = now;
        }
        return;
    }
    if (removal_ == event.operation) {
        removal_finished(event, now);
        return;
    }
    if (removal_of_expired_ == event.operation) {
        removal_of_expired_.reset();
        return;
    }
    const auto found = claims_.find(event.operation);
    if (found != claims_.end()) {
        const auto claim = found->second;
        claim_finished(claim, event, now);
        return;
    }
    const auto released = std::find_if(owned_.begin(), owned_.end(), [&](const auto& it) {
        return it.second.release == event.operation;
    });
    if (released != owned_.end()) {
        release_finished(base::cell_id(released->first), event, now);
    }
}

void ownership::machine::claim_finished(const detail::pending_claim& completed_claim,
                                        const commit_finished& event, base::time_point now) {
    if (!event.result && event.result.error() == store_error::answer_lost) {
        claims_[event.operation].answer_lost = true;
        next_scan_ = now;
        return;
    }
    const auto claim = completed_claim;
    claims_.erase(event.operation);
    if (!event.result) {
        next_scan_ = event.result.error() == store_error::conflict ? now : next_scan_;
        return;
    }
    const auto version = event.result->versions.front();
    const auto* seen = view_.cell(claim.cell);
    if (seen == nullptr || seen->version <= version) {  // a scan may have arrived earlier
        gain(claim, version, now);
    }
}

void ownership::machine::release_finished(const base::cell_id& id, const commit_finished& event,
                                          base::time_point now) {
    auto& cell = owned_[id];
    cell.release.reset();
    cell.next_release = now + settings_.scan_period / 2;
    if (!event.result) {
        // After a lost answer, the next scan shows whether the row has another version.
        next_scan_ = now;
        return;
    }
    cell_row row;
    row.id = id;
    row.epoch = cell.epoch;
    row.offered_by = settings_.self;
    view_.put(row, event.result->versions.front(), now);
    routes_stale_ = true;
    owned_.erase(id);
}

void ownership::machine::removal_finished(const commit_finished& event, base::time_point now) {
    removal_.reset();
    const bool again = !event.result && event.result.error() != store_error::answer_lost;
    if (again) {
        next_scan_ = now;
        lease_.invalidate_version(now);
        return;
    }
    // Either applied, or the outcome is unknown; then the row expires like that of a failed daemon.
    finished_ = true;
    out_.push_back(stop_finished{});
}

void ownership::machine::on(const peer_alive& event, base::time_point now) {
    last_contacts_[event.id] = now;
}

void ownership::machine::on(const daemon_vms_listed& event, base::time_point) {
    vms_.update(event.live);
}

void ownership::machine::on(const hold_off_answered& event, base::time_point) {
    received_hold_offs_.received(event);
}

void ownership::machine::on(const hold_off_requested& event, base::time_point now) {
    answer_hold_off answer;
    answer.requester = event.requester;
    answer.call_id = event.call_id;
    answer.granted = may_grant_hold_off(event, now);
    if (answer.granted) {
        answer.duration = settings_.lease;
        granted_hold_offs_.grant(event.requester, now + settings_.lease);
    } else if (may_replace_soon(event.requester, now)) {
        granted_hold_offs_.refuse(event.requester, now);
    }
    out_.push_back(answer);
}

void ownership::machine::on(const stop_requested& event, base::time_point) {
    keep_row_ = event.keep_row;
    if (stopping_) {
        return;
    }
    stopping_ = true;
    // So that other daemons read `stopping` and no longer count on this one.
    lease_.renew_immediately();
    for (auto& it : owned_) {
        drain(it.first, it.second);
    }
}

void ownership::machine::on(const cell_drained& event, base::time_point) {
    const auto it = owned_.find(event.cell);
    if (it != owned_.end() && it->second.state == drain_state::draining) {
        it->second.state = drain_state::drained;
    }
}

void ownership::machine::on(const registry_change_reported&, base::time_point now) {
    next_scan_ = now;
}

void ownership::machine::record_store_result(bool answered, base::time_point now) {
    store_failed_ = !answered;
    if (answered) {
        last_store_answer_ = now;
    }
}

bool ownership::machine::store_answers(base::time_point now) const {
    return !store_failed_ && last_store_answer_ &&
           now - *last_store_answer_ <= scans_until_unavailable * settings_.scan_period;
}

// The store is available to this daemon, and the owner's row has been unchanged for a full lease:
// another daemon should take over instead of granting a hold-off. Before that a hold-off costs
// nothing, and it carries the owner through an intermittent store.
bool ownership::machine::may_replace_soon(const base::daemon_id& owner,
                                          base::time_point now) const {
    return store_answers(now) && view_.unchanged_for(owner) >= settings_.lease;
}

// Also refused if this daemon has taken one of the cells, if it may have (a claim that is pending
// or whose answer was lost can be applied late), or if it knows of a newer owner than the
// requester.
bool ownership::machine::may_grant_hold_off(const hold_off_requested& event,
                                            base::time_point now) const {
    if (may_replace_soon(event.requester, now)) {
        return false;
    }
    return std::none_of(event.cells.begin(), event.cells.end(), [&](const auto& it) {
        const auto* seen = view_.cell(it.cell);
        const bool newer_owner =
            seen != nullptr && (seen->row.epoch > it.epoch || (seen->row.epoch == it.epoch &&
                                                               seen->row.owner != event.requester));
        return newer_owner || owned_.count(it.cell) != 0 || is_being_claimed(it.cell);
    });
}

}  // namespace cranberrydock::cell
