// Ranking the live daemons for a cell, and the conditions of a takeover.
#include "succession.hpp"

#include <cranberrydock/base/rendezvous.hpp>

#include <algorithm>

namespace cranberrydock::cell::detail {

namespace {

// An owner that tells us itself that it can't renew, while the store works for us, is given this
// many leases before its cells are taken although it is heard.
constexpr int leases_when_cut_off = 2;

int distance(const daemon_row& row, const known_cell& cell) {
    if (row.zone == cell.zone && row.region == cell.region) {
        return 0;
    }
    return row.region == cell.region ? 1 : 2;
}

}  // namespace

void listed_vms::take_in(const std::vector<base::vm_id>& live) {
    live_ = {live.begin(), live.end()};
    ever_.insert(live.begin(), live.end());
}

std::vector<daemon_row> succession::live(const registry_view& view) const {
    std::vector<daemon_row> result;
    for (const auto& it : view.daemons()) {
        const bool lapsed =
            it.second.version.value() == 0 || view.quiet(it.first) >= settings_.lease;
        if (!lapsed || it.first == settings_.self) {
            result.push_back(it.second.row);
        }
    }
    return result;
}

std::size_t succession::own_rank(const known_cell& cell, const base::daemon_id& offered_by,
                                 const surroundings& around) const {
    daemon_row self;
    self.region = settings_.region;
    self.zone = settings_.zone;
    const int own_distance = distance(self, cell);
    std::size_t nearer = 0;
    std::vector<std::string> alike = {settings_.self.str()};
    for (const auto& it : live(around.view)) {
        const bool out =
            it.id == settings_.self || it.stopping || it.id == offered_by || around.vms.gone(it.vm);
        if (out) {
            continue;
        }
        const int its_distance = distance(it, cell);
        if (its_distance < own_distance) {
            ++nearer;
        } else if (its_distance == own_distance) {
            alike.push_back(it.id.str());
        }
    }
    const auto order = base::rendezvous_order(cell.id.str(), alike);
    const auto self_at = std::find(order.begin(), order.end(), 0);
    return nearer + static_cast<std::size_t>(std::distance(order.begin(), self_at));
}

base::duration succession::first_owner_wait(const known_cell& cell) const {
    const bool own_zone = cell.zone == settings_.zone && cell.region == settings_.region;
    return own_zone ? base::duration(0) : base::duration(settings_.first_owner_delay);
}

bool succession::may_replace(const base::daemon_id& owner, const surroundings& around,
                             base::duration extra, base::time_point now) const {
    const auto* seen = around.view.daemon(owner);
    if (seen == nullptr || around.promises.silent_towards(owner, now)) {
        return false;
    }
    const auto quiet = around.view.quiet(owner);
    const base::duration lease = settings_.lease;
    // The lapse is demanded in every case, also when the member list no longer has the owner's VM:
    // the list lags and may be wrong, and only the lapse tells an owner that is still there, by its
    // own clock, that it must be quiet.
    if (quiet < lease + extra) {
        return false;
    }
    if (!seen->row.vm.empty() && around.vms.gone(seen->row.vm)) {
        return true;
    }
    if (around.promises.refused_since(owner, seen->since) &&
        quiet >= leases_when_cut_off * lease + extra) {
        return true;
    }
    // An owner that is heard is alive and only its renewals fail: a slow store is no reason.
    const auto heard = around.heard.find(owner);
    return heard == around.heard.end() || now - heard->second >= lease;
}

bool succession::turn_has_come(const known_cell& cell, const surroundings& around,
                               base::time_point now) const {
    const auto* seen = around.view.cell(cell.id);
    const auto offered_by = seen != nullptr ? seen->row.offered_by : base::daemon_id();
    const base::duration rank_wait = own_rank(cell, offered_by, around) * settings_.rank_delay;
    if (seen == nullptr) {
        const auto known = around.known_since.find(cell.id);
        const auto since = known == around.known_since.end()
                               ? *around.view.first_received()
                               : std::max(*around.view.first_received(), known->second);
        return now >= since + first_owner_wait(cell) + rank_wait;
    }
    if (seen->row.owner.empty()) {
        return now >= seen->since + rank_wait;
    }
    return may_replace(seen->row.owner, around, rank_wait, now);
}

std::optional<platform::transaction> succession::take(const known_cell& cell,
                                                      const surroundings& around,
                                                      base::time_point now) const {
    const auto* seen = around.view.cell(cell.id);
    const auto owner = seen != nullptr ? seen->row.owner : base::daemon_id();
    const bool live_owner = !owner.empty() && around.view.quiet(owner) < settings_.lease;
    if (owner == settings_.self || live_owner || !turn_has_come(cell, around, now)) {
        return std::nullopt;
    }
    cell_row next;
    next.id = cell.id;
    next.owner = settings_.self;
    next.epoch = seen != nullptr ? seen->row.epoch.next() : base::epoch(1);
    next.address = settings_.mesh_address;
    const auto key = cell_row_key(cell.id);
    platform::transaction result;
    result.conditions.push_back({key, seen != nullptr ? seen->version : platform::row_version(0)});
    if (!owner.empty()) {
        // A renewal that is applied between our scan and this write makes it fail.
        const auto version = around.view.daemon(owner)->version;
        result.conditions.push_back({daemon_row_key(owner), version});
    }
    result.writes.push_back({key, encode(next)});
    return result;
}

}  // namespace cranberrydock::cell::detail
