// Ranks the live daemons for a cell and checks the conditions of a takeover.
#include "succession.hpp"

#include <cranberrydock/base/rendezvous.hpp>

#include <algorithm>

namespace cranberrydock::cell::detail {

namespace {

// An owner that reports that it can't renew, while the store is available to this daemon, loses its
// cells after this many leases although it is still in contact.
constexpr int leases_when_cut_off = 2;

int distance(const daemon_row& row, const configured_cell& cell) {
    if (row.zone == cell.zone && row.region == cell.region) {
        return 0;
    }
    return row.region == cell.region ? 1 : 2;
}

}  // namespace

void listed_vms::update(const std::vector<base::vm_id>& live) {
    listed_ = {live.begin(), live.end()};
    ever_listed_.insert(live.begin(), live.end());
}

std::vector<daemon_row> succession::live(const registry_view& view) const {
    std::vector<daemon_row> result;
    for (const auto& it : view.daemons()) {
        const bool expired =
            it.second.version.value() == 0 || view.unchanged_for(it.first) >= settings_.lease;
        if (!expired || it.first == settings_.self) {
            result.push_back(it.second.row);
        }
    }
    return result;
}

std::size_t succession::own_rank(const configured_cell& cell, const base::daemon_id& offered_by,
                                 const succession_inputs& inputs) const {
    daemon_row self;
    self.region = settings_.region;
    self.zone = settings_.zone;
    const int own_distance = distance(self, cell);
    std::size_t nearer = 0;
    std::vector<std::string> equally_near = {settings_.self.str()};
    for (const auto& it : live(inputs.view)) {
        const bool excluded =
            it.id == settings_.self || it.stopping || it.id == offered_by || inputs.vms.gone(it.vm);
        if (excluded) {
            continue;
        }
        const int other_distance = distance(it, cell);
        if (other_distance < own_distance) {
            ++nearer;
        } else if (other_distance == own_distance) {
            equally_near.push_back(it.id.str());
        }
    }
    const auto order = base::rendezvous_order(cell.id.str(), equally_near);
    const auto own_position = std::find(order.begin(), order.end(), 0);
    return nearer + static_cast<std::size_t>(std::distance(order.begin(), own_position));
}

base::duration succession::first_owner_wait(const configured_cell& cell) const {
    const bool own_zone = cell.zone == settings_.zone && cell.region == settings_.region;
    return own_zone ? base::duration(0) : base::duration(settings_.first_owner_delay);
}

bool succession::may_replace(const base::daemon_id& owner, const succession_inputs& inputs,
                             base::duration extra_wait, base::time_point now) const {
    const auto* seen = inputs.view.daemon(owner);
    if (seen == nullptr || inputs.hold_offs.active_for(owner, now)) {
        return false;
    }
    const auto unchanged = inputs.view.unchanged_for(owner);
    const base::duration lease = settings_.lease;
    // An expired lease is required in every case, even when the member list no longer contains the
    // owner's VM. The list lags and may be wrong, and only the expiry makes an owner that still
    // runs stop placing, by its own clock.
    if (unchanged < lease + extra_wait) {
        return false;
    }
    if (!seen->row.vm.empty() && inputs.vms.gone(seen->row.vm)) {
        return true;
    }
    if (inputs.hold_offs.refused_since(owner, seen->unchanged_since) &&
        unchanged >= leases_when_cut_off * lease + extra_wait) {
        return true;
    }
    // An owner that is still in contact is alive and only its renewals fail. A slow store is no
    // reason for a takeover.
    const auto contact = inputs.last_contacts.find(owner);
    return contact == inputs.last_contacts.end() || now - contact->second >= lease;
}

bool succession::may_claim_now(const configured_cell& cell, const succession_inputs& inputs,
                               base::time_point now) const {
    const auto* seen = inputs.view.cell(cell.id);
    const auto offered_by = seen != nullptr ? seen->row.offered_by : base::daemon_id();
    const base::duration rank_wait = own_rank(cell, offered_by, inputs) * settings_.rank_delay;
    if (seen == nullptr) {
        const auto known = inputs.configured_since.find(cell.id);
        const auto since = known == inputs.configured_since.end()
                               ? *inputs.view.first_received()
                               : std::max(*inputs.view.first_received(), known->second);
        return now >= since + first_owner_wait(cell) + rank_wait;
    }
    if (seen->row.owner.empty()) {
        return now >= seen->unchanged_since + rank_wait;
    }
    return may_replace(seen->row.owner, inputs, rank_wait, now);
}

std::optional<platform::transaction> succession::claim(const configured_cell& cell,
                                                       const succession_inputs& inputs,
                                                       base::time_point now) const {
    const auto* seen = inputs.view.cell(cell.id);
    const auto owner = seen != nullptr ? seen->row.owner : base::daemon_id();
    const bool live_owner = !owner.empty() && inputs.view.unchanged_for(owner) < settings_.lease;
    if (owner == settings_.self || live_owner || !may_claim_now(cell, inputs, now)) {
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
        // A renewal that is applied between this daemon's scan and this write makes the write fail.
        const auto version = inputs.view.daemon(owner)->version;
        result.conditions.push_back({daemon_row_key(owner), version});
    }
    result.writes.push_back({key, encode(next)});
    return result;
}

}  // namespace cranberrydock::cell::detail
