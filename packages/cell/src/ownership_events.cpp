// What each event means to the ownership machine.
#include "ownership_machine.hpp"

#include <algorithm>

namespace cranberrydock::cell {

using detail::hold;
using platform::store_error;

namespace {

// A store that has not answered for so many scan periods counts as unavailable.
constexpr int scans_until_unavailable = 2;
// After so many scan periods without a scan the watch over other daemons' rows starts anew.
constexpr int scans_until_gap = 3;

}  // namespace

ownership::machine::machine(const ownership_settings& settings)
    : settings_(settings),
      succession_(settings),
      view_(scans_until_gap * settings.scan_period),
      lease_(settings),
      held_(settings) {}

std::vector<ownership_effect> ownership::machine::handle(const ownership_event& event,
                                                         base::time_point now) {
    out_.clear();
    if (!finished_) {
        std::visit([&](const auto& one) { on(one, now); }, event);
        advance(now);
    }
    return std::exchange(out_, {});
}

void ownership::machine::on(const tick&, base::time_point) {}

void ownership::machine::on(const cells_known& event, base::time_point now) {
    cells_ = event.cells;
    for (const auto& it : cells_) {
        known_since_.emplace(it.id, now);
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
    note_store(event.rows.has_value(), now);
    if (!event.rows) {
        return;
    }
    view_.take_in(*event.rows, scan_sent_, now);
    resolve_own_row(scan_sent_);
    find_lost_cells();
    resolve_takes(now);
    just_scanned_ = true;
}

void ownership::machine::on(const commit_finished& event, base::time_point now) {
    note_store(event.result.has_value() || event.result.error() == store_error::conflict, now);
    if (lease_.is_mine(event.operation)) {
        const auto applied = lease_.finished(event.result, now);
        if (applied) {
            apply(*applied);
        } else if (!lease_.certain()) {
            next_scan_ = now;
        }
        return;
    }
    if (removal_ == event.operation) {
        removal_finished(event, now);
        return;
    }
    if (removal_of_lapsed_ == event.operation) {
        removal_of_lapsed_.reset();
        return;
    }
    const auto take = takes_.find(event.operation);
    if (take != takes_.end()) {
        const auto one = take->second;
        take_finished(one, event, now);
        return;
    }
    const auto released = std::find_if(owned_.begin(), owned_.end(), [&](const auto& it) {
        return it.second.release == event.operation;
    });
    if (released != owned_.end()) {
        release_finished(base::cell_id(released->first), event, now);
    }
}

void ownership::machine::take_finished(const detail::pending_take& take,
                                       const commit_finished& event, base::time_point now) {
    if (!event.result && event.result.error() == store_error::answer_lost) {
        takes_[event.operation].answer_lost = true;
        next_scan_ = now;
        return;
    }
    const auto one = take;
    takes_.erase(event.operation);
    if (!event.result) {
        next_scan_ = event.result.error() == store_error::conflict ? now : next_scan_;
        return;
    }
    const auto version = event.result->versions.front();
    const auto* seen = view_.cell(one.cell);
    if (seen == nullptr || seen->version <= version) {  // a scan may have been faster
        gain(one, version, now);
    }
}

void ownership::machine::release_finished(const base::cell_id& id, const commit_finished& event,
                                          base::time_point now) {
    auto& cell = owned_[id];
    cell.release.reset();
    cell.next_release = now + settings_.scan_period / 2;
    if (!event.result) {
        // A lost answer is read back: the next scan shows the row with another version.
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
        lease_.forget_version(now);
        return;
    }
    // Applied; or perhaps not, then the row lapses like that of a daemon that died.
    finished_ = true;
    out_.push_back(stop_finished{});
}

void ownership::machine::on(const peer_heard& event, base::time_point now) {
    heard_[event.id] = now;
}

void ownership::machine::on(const entries_listed& event, base::time_point) {
    vms_.take_in(event.live);
}

void ownership::machine::on(const promise_received& event, base::time_point) {
    held_.received(event);
}

void ownership::machine::on(const silence_asked& event, base::time_point now) {
    promise_silence answer;
    answer.to = event.by;
    answer.call = event.call;
    answer.given = may_promise(event, now);
    if (answer.given) {
        answer.lasting = settings_.lease;
        given_.give(event.by, now + settings_.lease);
    } else if (may_replace_soon(event.by, now)) {
        given_.refuse(event.by, now);
    }
    out_.push_back(answer);
}

void ownership::machine::on(const stop_requested& event, base::time_point) {
    keep_row_ = event.keep_row;
    if (stopping_) {
        return;
    }
    stopping_ = true;
    lease_.hurry();  // tells the others not to count with this daemon
    for (auto& it : owned_) {
        drain(it.first, it.second);
    }
}

void ownership::machine::on(const cell_drained& event, base::time_point) {
    const auto it = owned_.find(event.cell);
    if (it != owned_.end() && it->second.state == hold::draining) {
        it->second.state = hold::drained;
    }
}

void ownership::machine::on(const registry_hint&, base::time_point now) {
    next_scan_ = now;
}

void ownership::machine::note_store(bool answered, base::time_point now) {
    store_failed_ = !answered;
    if (answered) {
        store_answered_ = now;
    }
}

bool ownership::machine::store_answers(base::time_point now) const {
    return !store_failed_ && store_answered_ &&
           now - *store_answered_ <= scans_until_unavailable * settings_.scan_period;
}

// The store works for us, and the owner's row has stood as long as it may: somebody should take
// over instead of promising silence. Before that a promise costs nothing, and it carries the owner
// over a store that comes and goes.
bool ownership::machine::may_replace_soon(const base::daemon_id& owner,
                                          base::time_point now) const {
    return store_answers(now) && view_.quiet(owner) >= settings_.lease;
}

// Refused as well by whoever took one of the cells, or may have (a take whose answer was lost, or
// is still awaited, can be applied late), and by whoever knows of a later owner than the asker.
bool ownership::machine::may_promise(const silence_asked& event, base::time_point now) const {
    if (may_replace_soon(event.by, now)) {
        return false;
    }
    return std::none_of(event.cells.begin(), event.cells.end(), [&](const auto& it) {
        const auto* seen = view_.cell(it.cell);
        const bool later_owner =
            seen != nullptr && (seen->row.epoch > it.epoch ||
                                (seen->row.epoch == it.epoch && seen->row.owner != event.by));
        return later_owner || owned_.count(it.cell) != 0 || is_being_taken(it.cell);
    });
}

}  // namespace cranberrydock::cell
