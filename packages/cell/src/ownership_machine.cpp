// The time-dependent steps of the ownership state machine, and the effects of scans and results on
// its cells.
#include "ownership_machine.hpp"

#include <algorithm>

namespace cranberrydock::cell {

using detail::drain_state;
using detail::owned_cell;

namespace {

// A row that has been unchanged for this many leases and owns no cell is removed.
constexpr int leases_until_removal = 20;
constexpr std::size_t max_removals = 16;  // in one transaction
// A daemon whose row had been unchanged for this many leases at the last read of the store is not
// asked for a hold-off.
constexpr int leases_until_not_queried = 2;

}  // namespace

void ownership::machine::advance(base::time_point now) {
    extend_by_hold_offs(now);
    update_suspensions(now);
    // Only directly after a scan, so that an unresponsive store never causes a takeover.
    if (std::exchange(just_scanned_, false)) {
        claim_cells(now);
        remove_expired_rows(now);
        routes_stale_ = true;
    }
    release_cells(now);
    renew(now);
    request_hold_offs(now);
    scan(now);
    publish_routes();
    finish_stop(now);
}

// ---- freshness

bool ownership::machine::fresh(const owned_cell& cell, base::time_point now) const {
    return now < fresh_until(cell);
}

base::time_point ownership::machine::fresh_until(const owned_cell& cell) const {
    const base::time_point own = cell.evidence + settings_.lease - settings_.safety_margin;
    return std::max<base::time_point>(own, extended_until_);
}

bool ownership::machine::own_row_fresh(base::time_point now) const {
    return renewed_ && now < *renewed_ + settings_.lease - settings_.safety_margin;
}

// Leaves one renew period in which the other daemons can answer.
bool ownership::machine::renewal_late(base::time_point now) const {
    return renewed_ &&
           now >= *renewed_ + settings_.lease - settings_.safety_margin - settings_.renew_period;
}

bool ownership::machine::may_place(const base::cell_id& cell, base::time_point now) const {
    return now < placement_valid_until(cell);
}

base::time_point ownership::machine::placement_valid_until(const base::cell_id& cell) const {
    const auto it = owned_.find(cell);
    const bool usable = it != owned_.end() && it->second.state != drain_state::drained;
    return usable ? fresh_until(it->second) : base::time_point{};
}

void ownership::machine::update_suspensions(base::time_point now) {
    for (auto& it : owned_) {
        const bool is_fresh = fresh(it.second, now);
        if (is_fresh && it.second.suspended) {
            out_.push_back(cell_resumed{it.first});
        } else if (!is_fresh && !it.second.suspended) {
            out_.push_back(cell_suspended{
                it.first,
                "the lease could not be renewed in the table service in time, and not "
                "every other daemon has granted a takeover hold-off"});
        }
        it.second.suspended = !is_fresh;
    }
}

void ownership::machine::apply(const detail::renewal& confirmed) {
    renewed_ = renewed_ ? std::max(*renewed_, confirmed.sent) : confirmed.sent;
    for (const auto& id : confirmed.cells) {
        const auto it = owned_.find(id);
        if (it != owned_.end()) {
            it->second.evidence = std::max(it->second.evidence, confirmed.sent);
        }
    }
}

void ownership::machine::renew(base::time_point now) {
    if (!lease_.may_send(now)) {
        return;
    }
    std::vector<base::cell_id> cells;
    std::vector<platform::row_condition> guards;
    for (const auto& it : owned_) {
        if (!it.second.release) {
            cells.push_back(it.first);
            guards.push_back({cell_row_key(it.first), it.second.version});
        }
    }
    const auto operation = new_operation();
    out_.push_back(
        commit{operation, lease_.begin(operation, std::move(cells), guards, stopping_, now)});
}

// ---- takeover hold-offs

// Every daemon that might take a cell: those of the registry and those seen on the mesh. Excludes
// daemons whose VM has left the member list, and daemons whose rows had long expired while the
// store could still be read.
std::set<base::daemon_id> ownership::machine::hold_off_recipients(base::time_point now) const {
    std::set<base::daemon_id> result;
    for (const auto& it : last_contacts_) {
        if (now - it.second < settings_.lease) {
            result.insert(it.first);
        }
    }
    for (const auto& it : view_.daemons()) {
        const auto& seen = it.second;
        const bool expired =
            seen.version.value() == 0 ||
            view_.unchanged_for(it.first) >= leases_until_not_queried * settings_.lease;
        if (!expired) {
            result.insert(it.first);
        }
        if (!seen.row.vm.empty() && vms_.gone(seen.row.vm)) {
            result.erase(it.first);
        }
    }
    result.erase(settings_.self);
    return result;
}

void ownership::machine::extend_by_hold_offs(base::time_point now) {
    if (owned_.empty() || !renewal_late(now)) {
        return;
    }
    const auto others = hold_off_recipients(now);
    if (!others.empty()) {
        extended_until_ = std::max(extended_until_, received_hold_offs_.until(others));
    }
}

void ownership::machine::request_hold_offs(base::time_point now) {
    if (owned_.empty() || !renewal_late(now) || !received_hold_offs_.may_request(now)) {
        return;
    }
    const auto others = hold_off_recipients(now);
    const auto operation = new_operation();
    received_hold_offs_.request_sent(operation, now);
    if (others.empty()) {
        // No other daemon is known that could take a cell. A daemon that has started meanwhile may
        // not be known here, so this holds only if the evidence has been fresh without a gap; after
        // a suspension of this process it does not hold.
        const bool all_fresh = std::all_of(owned_.begin(), owned_.end(),
                                           [&](const auto& it) { return fresh(it.second, now); });
        if (all_fresh) {
            extended_until_ = now + settings_.lease - settings_.safety_margin;
        }
        return;
    }
    request_hold_off request;
    request.operation = operation;
    request.recipients = {others.begin(), others.end()};
    for (const auto& it : owned_) {
        request.cells.push_back({it.first, it.second.epoch});
    }
    out_.push_back(request);
}

// ---- taking cells

bool ownership::machine::configured(const base::cell_id& id) const {
    return std::any_of(cells_.begin(), cells_.end(), [&](const auto& it) { return it.id == id; });
}

bool ownership::machine::is_being_claimed(const base::cell_id& id) const {
    return std::any_of(claims_.begin(), claims_.end(),
                       [&](const auto& it) { return it.second.cell == id; });
}

void ownership::machine::claim_cells(base::time_point now) {
    if (stopping_ || !own_row_fresh(now)) {
        return;
    }
    for (const auto& it : cells_) {
        if (owned_.count(it.id) != 0 || is_being_claimed(it.id)) {
            continue;
        }
        auto claim_transaction = succession_.claim(it, current_inputs(), now);
        if (!claim_transaction) {
            continue;
        }
        const auto* seen = view_.cell(it.id);
        detail::pending_claim claim;
        claim.cell = it.id;
        claim.epoch = seen != nullptr ? seen->row.epoch.next() : base::epoch(1);
        claim.cell_version = claim_transaction->conditions.front().version;
        if (seen != nullptr && !seen->row.owner.empty()) {
            claim.owner = seen->row.owner;
            claim.owner_version = claim_transaction->conditions.back().version;
        }
        claim.evidence = *renewed_;
        const auto operation = new_operation();
        claims_[operation] = claim;
        out_.push_back(commit{operation, std::move(*claim_transaction)});
    }
}

// A claim whose answer was lost ends when a scan shows that this daemon owns the cell, or that one
// of the two rows has changed and the claim can't be applied any more.
void ownership::machine::resolve_claims(base::time_point now) {
    for (auto it = claims_.begin(); it != claims_.end();) {
        const auto claim = it->second;
        const auto* cell = view_.cell(claim.cell);
        const auto cell_version = cell != nullptr ? cell->version : platform::row_version(0);
        const auto* owner = view_.daemon(claim.owner);
        const bool owner_changed =
            !claim.owner.empty() && (owner == nullptr || owner->version != claim.owner_version);
        if (!claim.answer_lost || (cell_version == claim.cell_version && !owner_changed)) {
            ++it;
            continue;
        }
        it = claims_.erase(it);
        const bool owned_by_self =
            cell != nullptr && cell->row.owner == settings_.self && cell->row.epoch == claim.epoch;
        if (owned_by_self) {
            gain(claim, cell_version, now);
        }
    }
}

void ownership::machine::gain(const detail::pending_claim& claim, platform::row_version version,
                              base::time_point now) {
    cell_row row;
    row.id = claim.cell;
    row.owner = settings_.self;
    row.epoch = claim.epoch;
    row.address = settings_.mesh_address;
    view_.put(row, version, now);
    routes_stale_ = true;
    owned_cell cell;
    cell.epoch = claim.epoch;
    cell.version = version;
    cell.evidence = claim.evidence;
    // So that this cell's evidence is as recent as that of the other cells.
    lease_.renew_immediately();
    if (stopping_ || !configured(claim.cell)) {
        cell.state = drain_state::drained;  // no work was ever pending here
        owned_.emplace(claim.cell, cell);
        return;
    }
    owned_.emplace(claim.cell, cell);
    out_.push_back(cell_gained{claim.cell, claim.epoch, {cell_row_key(claim.cell), version}});
}

// ---- losing and releasing cells

void ownership::machine::find_lost_cells() {
    std::vector<base::cell_id> lost;
    for (const auto& it : owned_) {
        const auto* seen = view_.cell(it.first);
        if (seen != nullptr && seen->version > it.second.version) {
            lost.push_back(it.first);
        }
    }
    for (const auto& id : lost) {
        const auto& owner = view_.cell(id)->row.owner;
        lose(id, owner.empty() ? "offered" : "taken by " + owner.str());
    }
}

void ownership::machine::lose(const base::cell_id& id, const std::string& reason) {
    const auto cell = owned_[id];
    owned_.erase(id);
    if (cell.state != drain_state::drained) {
        out_.push_back(cell_lost{id, cell.epoch, reason});
    }
}

void ownership::machine::drain(const base::cell_id& id, owned_cell& cell) {
    if (cell.state == drain_state::held) {
        cell.state = drain_state::draining;
        out_.push_back(drain_cell{id});
    }
}

void ownership::machine::release_cells(base::time_point now) {
    for (auto& it : owned_) {
        auto& cell = it.second;
        if (cell.state != drain_state::drained || cell.release || now < cell.next_release) {
            continue;
        }
        cell_row row;
        row.id = it.first;
        row.epoch = cell.epoch;
        row.offered_by = settings_.self;
        const auto key = cell_row_key(it.first);
        cell.release = new_operation();
        out_.push_back(commit{*cell.release, {{{key, cell.version}}, {{key, encode(row)}}}});
    }
}

void ownership::machine::finish_stop(base::time_point now) {
    const bool drained = std::all_of(owned_.begin(), owned_.end(), [](const auto& it) {
        return it.second.state == drain_state::drained;
    });
    if (!stopping_ || finished_ || !drained || keep_row_) {
        return;
    }
    drained_at_ = drained_at_.value_or(now);
    if (now - *drained_at_ >= settings_.stop_timeout) {
        finished_ = true;  // other daemons take over once the row has expired
        out_.push_back(stop_finished{});
        return;
    }
    const bool ready =
        owned_.empty() && claims_.empty() && !lease_.in_flight() && lease_.version_known();
    if (ready && !removal_) {
        removal_ = new_operation();
        out_.push_back(commit{*removal_, lease_.remove()});
    }
}

// ---- the registry

void ownership::machine::scan(base::time_point now) {
    if (scan_operation_ || now < next_scan_) {
        return;
    }
    scan_operation_ = new_operation();
    scan_sent_ = now;
    next_scan_ = now + settings_.scan_period;
    out_.push_back(scan_registry{*scan_operation_});
}

void ownership::machine::resolve_own_row(base::time_point scan_sent) {
    const auto* seen = view_.daemon(settings_.self);
    const bool present = seen != nullptr && seen->version.value() != 0;
    const auto applied =
        lease_.row_scanned(present ? &seen->row : nullptr,
                           present ? seen->version : platform::row_version(0), scan_sent);
    if (applied) {
        apply(*applied);
    }
}

// Removes the rows of failed daemons. Only the live daemon with the smallest id does so.
void ownership::machine::remove_expired_rows(base::time_point now) {
    const auto live = succession_.live(view_);
    const bool is_responsible = !live.empty() && live.front().id == settings_.self;
    if (!is_responsible || removal_of_expired_ || stopping_ || !own_row_fresh(now)) {
        return;
    }
    platform::transaction removal;
    for (const auto& it : view_.daemons()) {
        const bool owner =
            std::any_of(view_.cells().begin(), view_.cells().end(),
                        [&](auto& entry) { return entry.second.row.owner == it.first; });
        const bool removable =
            it.second.version.value() != 0 && !owner &&
            view_.unchanged_for(it.first) >= leases_until_removal * settings_.lease;
        if (removable && removal.writes.size() < max_removals) {
            const auto key = daemon_row_key(it.first);
            removal.conditions.push_back({key, it.second.version});
            removal.writes.push_back({key, std::nullopt});
        }
    }
    if (!removal.writes.empty()) {
        removal_of_expired_ = new_operation();
        out_.push_back(commit{*removal_of_expired_, std::move(removal)});
    }
}

void ownership::machine::publish_routes() {
    if (!std::exchange(routes_stale_, false)) {
        return;
    }
    routes_changed next;
    for (const auto& it : view_.cells()) {
        next.cells.push_back(it.second.row);
    }
    for (auto& it : succession_.live(view_)) {
        it.renewals = 0;
        next.daemons.push_back(std::move(it));
    }
    if (next.cells != routes_.cells || next.daemons != routes_.daemons) {
        routes_ = next;
        out_.push_back(std::move(next));
    }
}

}  // namespace cranberrydock::cell
