// The owner of each cell, and the home cell of each job.
#include "routing_table.hpp"

#include <cranberrydock/base/rendezvous.hpp>

#include <algorithm>
#include <string>

namespace cranberrydock::daemon {

void routing_table::add_owned(const base::cell_id& cell, base::epoch epoch) {
    remove_owned(cell);
    owned_.push_back({cell, epoch});
}

void routing_table::remove_owned(const base::cell_id& cell) {
    const auto is_cell = [&](const cell::cell_epoch& it) { return it.cell == cell; };
    owned_.erase(std::remove_if(owned_.begin(), owned_.end(), is_cell), owned_.end());
}

bool routing_table::owned_here(const base::cell_id& cell) const {
    return std::any_of(owned_.begin(), owned_.end(),
                       [&](const cell::cell_epoch& it) { return it.cell == cell; });
}

void routing_table::set_claims(const base::daemon_id& peer,
                               const std::vector<mesh::owned_cell>& owned) {
    claims_[peer] = owned;
}

std::optional<base::daemon_id> routing_table::owner(const base::cell_id& cell) const {
    if (owned_here(cell)) {
        return self_;
    }
    std::optional<base::daemon_id> out;
    base::epoch highest(0);
    for (const auto& it : routes_.cells) {
        // A registry row that names this daemon may be older than its own list of owned cells,
        // which has been searched above.
        if (it.id == cell) {
            highest = it.epoch;
            out = it.owner.empty() || it.owner == self_ ? out : std::optional(it.owner);
        }
    }
    for (const auto& [peer, claims] : claims_) {
        for (const auto& it : claims) {
            if (it.cell == cell && it.epoch > highest) {
                highest = it.epoch;
                out = peer;
            }
        }
    }
    return out;
}

std::vector<base::cell_id> home_cells(const config::configuration& current,
                                      const base::team_id& team) {
    std::vector<base::cell_id> out;
    const config::team* const found = current.find_team(team);
    for (const auto& it : current.cells) {
        if (found != nullptr && it.region == found->home_region) {
            out.push_back(it.id);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::optional<base::cell_id> home_cell(const config::configuration& current,
                                       const base::team_id& team, const base::job_id& job) {
    const std::vector<base::cell_id> cells = home_cells(current, team);
    if (cells.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    names.reserve(cells.size());
    for (const auto& it : cells) {
        names.push_back(it.str());
    }
    return cells[base::rendezvous_order(job.str(), names).front()];
}

}  // namespace cranberrydock::daemon
