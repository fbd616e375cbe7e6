// What the ownership machine does as time goes on, and what scans and results mean for its cells.
#include "ownership_machine.hpp"

#include <algorithm>

namespace cranberrydock::cell {

using detail::hold;
using detail::owned_cell;

namespace {

// A row that has stood unchanged for so many leases and owns nothing is removed.
constexpr int leases_until_removal = 20;
constexpr std::size_t max_removals = 16;  // in one transaction
// A daemon that had been quiet for so many leases when the store was last read need not be asked.
constexpr int leases_until_not_asked = 2;

}  // namespace

void ownership::machine::advance(base::time_point now) {
    extend_by_promises(now);
    note_freshness(now);
    // Only on the heels of a scan, so that never the store's silence leads to a takeover.
    if (std::exchange(just_scanned_, false)) {
        take_cells(now);
        remove_lapsed_rows(now);
        routes_stale_ = true;
    }
    release_cells(now);
    renew(now);
    ask_for_silence(now);
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

// A renew period is left in which the others can answer.
bool ownership::machine::renewal_late(base::time_point now) const {
    return renewed_ &&
           now >= *renewed_ + settings_.lease - settings_.safety_margin - settings_.renew_period;
}

bool ownership::machine::may_place(const base::cell_id& cell, base::time_point now) const {
    return now < place_until(cell);
}

base::time_point ownership::machine::place_until(const base::cell_id& cell) const {
    const auto it = owned_.find(cell);
    const bool usable = it != owned_.end() && it->second.state != hold::drained;
    return usable ? fresh_until(it->second) : base::time_point{};
}

void ownership::machine::note_freshness(base::time_point now) {
    for (auto& it : owned_) {
        const bool is_fresh = fresh(it.second, now);
        if (is_fresh && it.second.suspended) {
            out_.push_back(cell_resumed{it.first});
        } else if (!is_fresh && !it.second.suspended) {
            out_.push_back(cell_suspended{
                it.first,
                "the lease could not be renewed in the table service in time, and not "
                "every other daemon has promised silence"});
        }
        it.second.suspended = !is_fresh;
    }
}

void ownership::machine::apply(const detail::renewal& one) {
    renewed_ = renewed_ ? std::max(*renewed_, one.sent) : one.sent;
    for (const auto& id : one.cells) {
        const auto it = owned_.find(id);
        if (it != owned_.end()) {
            it->second.evidence = std::max(it->second.evidence, one.sent);
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

// ---- promises of silence

// Every daemon that might take a cell: those of the registry and those heard on the mesh, but for
// what is gone by the member list and what had long lapsed while the store could still be read.
std::set<base::daemon_id> ownership::machine::others_to_ask(base::time_point now) const {
    std::set<base::daemon_id> result;
    for (const auto& it : heard_) {
        if (now - it.second < settings_.lease) {
            result.insert(it.first);
        }
    }
    for (const auto& it : view_.daemons()) {
        const auto& seen = it.second;
        const bool lapsed = seen.version.value() == 0 ||
                            view_.quiet(it.first) >= leases_until_not_asked * settings_.lease;
        if (!lapsed) {
            result.insert(it.first);
        }
        if (!seen.row.vm.empty() && vms_.gone(seen.row.vm)) {
            result.erase(it.first);
        }
    }
    result.erase(settings_.self);
    return result;
}

void ownership::machine::extend_by_promises(base::time_point now) {
    if (owned_.empty() || !renewal_late(now)) {
        return;
    }
    const auto others = others_to_ask(now);
    if (!others.empty()) {
        extended_until_ = std::max(extended_until_, held_.until(others));
    }
}

void ownership::machine::ask_for_silence(base::time_point now) {
    if (owned_.empty() || !renewal_late(now) || !held_.may_ask(now)) {
        return;
    }
    const auto others = others_to_ask(now);
    const auto operation = new_operation();
    held_.asked(operation, now);
    if (others.empty()) {
        // Nobody is there who could take a cell. A daemon that starts meanwhile is not known here,
        // so this holds only without a break: after a pause of this process it does not.
        const bool unbroken = std::all_of(owned_.begin(), owned_.end(),
                                          [&](const auto& it) { return fresh(it.second, now); });
        if (unbroken) {
            extended_until_ = now + settings_.lease - settings_.safety_margin;
        }
        return;
    }
    ask_silence question;
    question.operation = operation;
    question.to = {others.begin(), others.end()};
    for (const auto& it : owned_) {
        question.cells.push_back({it.first, it.second.epoch});
    }
    out_.push_back(question);
}

// ---- taking cells

bool ownership::machine::configured(const base::cell_id& id) const {
    return std::any_of(cells_.begin(), cells_.end(), [&](const auto& it) { return it.id == id; });
}

bool ownership::machine::is_being_taken(const base::cell_id& id) const {
    return std::any_of(takes_.begin(), takes_.end(),
                       [&](const auto& it) { return it.second.cell == id; });
}

void ownership::machine::take_cells(base::time_point now) {
    if (stopping_ || !own_row_fresh(now)) {
        return;
    }
    for (const auto& it : cells_) {
        if (owned_.count(it.id) != 0 || is_being_taken(it.id)) {
            continue;
        }
        auto what = succession_.take(it, around(), now);
        if (!what) {
            continue;
        }
        const auto* seen = view_.cell(it.id);
        detail::pending_take take;
        take.cell = it.id;
        take.epoch = seen != nullptr ? seen->row.epoch.next() : base::epoch(1);
        take.cell_version = what->conditions.front().version;
        if (seen != nullptr && !seen->row.owner.empty()) {
            take.owner = seen->row.owner;
            take.owner_version = what->conditions.back().version;
        }
        take.evidence = *renewed_;
        const auto operation = new_operation();
        takes_[operation] = take;
        out_.push_back(commit{operation, std::move(*what)});
    }
}

// A take whose answer was lost ends when a scan shows the cell as ours, or one of the two rows
// changed, so that it can't be applied any more.
void ownership::machine::resolve_takes(base::time_point now) {
    for (auto it = takes_.begin(); it != takes_.end();) {
        const auto take = it->second;
        const auto* cell = view_.cell(take.cell);
        const auto cell_version = cell != nullptr ? cell->version : platform::row_version(0);
        const auto* owner = view_.daemon(take.owner);
        const bool owner_changed =
            !take.owner.empty() && (owner == nullptr || owner->version != take.owner_version);
        if (!take.answer_lost || (cell_version == take.cell_version && !owner_changed)) {
            ++it;
            continue;
        }
        it = takes_.erase(it);
        const bool ours =
            cell != nullptr && cell->row.owner == settings_.self && cell->row.epoch == take.epoch;
        if (ours) {
            gain(take, cell_version, now);
        }
    }
}

void ownership::machine::gain(const detail::pending_take& take, platform::row_version version,
                              base::time_point now) {
    cell_row row;
    row.id = take.cell;
    row.owner = settings_.self;
    row.epoch = take.epoch;
    row.address = settings_.mesh_address;
    view_.put(row, version, now);
    routes_stale_ = true;
    owned_cell cell;
    cell.epoch = take.epoch;
    cell.version = version;
    cell.evidence = take.evidence;
    lease_.hurry();  // so that the evidence for this cell is as young as that for the others
    if (stopping_ || !configured(take.cell)) {
        cell.state = hold::drained;  // nothing was ever under way here
        owned_.emplace(take.cell, cell);
        return;
    }
    owned_.emplace(take.cell, cell);
    out_.push_back(cell_gained{take.cell, take.epoch, {cell_row_key(take.cell), version}});
}

// ---- losing and giving up cells

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

void ownership::machine::lose(const base::cell_id& id, const std::string& why) {
    const auto cell = owned_[id];
    owned_.erase(id);
    if (cell.state != hold::drained) {
        out_.push_back(cell_lost{id, cell.epoch, why});
    }
}

void ownership::machine::drain(const base::cell_id& id, owned_cell& cell) {
    if (cell.state == hold::held) {
        cell.state = hold::draining;
        out_.push_back(drain_cell{id});
    }
}

void ownership::machine::release_cells(base::time_point now) {
    for (auto& it : owned_) {
        auto& cell = it.second;
        if (cell.state != hold::drained || cell.release || now < cell.next_release) {
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
        return it.second.state == hold::drained;
    });
    if (!stopping_ || finished_ || !drained || keep_row_) {
        return;
    }
    drained_at_ = drained_at_.value_or(now);
    if (now - *drained_at_ >= settings_.stop_patience) {
        finished_ = true;  // the others take over when the row has lapsed
        out_.push_back(stop_finished{});
        return;
    }
    const bool ready = owned_.empty() && takes_.empty() && !lease_.in_flight() && lease_.certain();
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
    const bool there = seen != nullptr && seen->version.value() != 0;
    const auto applied = lease_.seen(there ? &seen->row : nullptr,
                                     there ? seen->version : platform::row_version(0), scan_sent);
    if (applied) {
        apply(*applied);
    }
}

// Rows of daemons that died. One live daemon sees to it, the one with the smallest id.
void ownership::machine::remove_lapsed_rows(base::time_point now) {
    const auto live = succession_.live(view_);
    const bool ours = !live.empty() && live.front().id == settings_.self;
    if (!ours || removal_of_lapsed_ || stopping_ || !own_row_fresh(now)) {
        return;
    }
    platform::transaction what;
    for (const auto& it : view_.daemons()) {
        const bool owner = std::any_of(view_.cells().begin(), view_.cells().end(),
                                       [&](auto& one) { return one.second.row.owner == it.first; });
        const bool dead = it.second.version.value() != 0 && !owner &&
                          view_.quiet(it.first) >= leases_until_removal * settings_.lease;
        if (dead && what.writes.size() < max_removals) {
            const auto key = daemon_row_key(it.first);
            what.conditions.push_back({key, it.second.version});
            what.writes.push_back({key, std::nullopt});
        }
    }
    if (!what.writes.empty()) {
        removal_of_lapsed_ = new_operation();
        out_.push_back(commit{*removal_of_lapsed_, std::move(what)});
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
