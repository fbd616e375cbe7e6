// The slots that each team has running and queued in the whole fleet, as last reported to this
// daemon: for its own cells by their deciders, for other cells by the heartbeats of their owners.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/mesh/messages.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <map>
#include <vector>

namespace cranberrydock::daemon {

class fleet_usage {
public:
    void set(const base::cell_id& own_cell, const std::vector<policy::team_load>& loads) {
        loads_[own_cell] = loads;
    }
    void set(const base::daemon_id& peer, const std::vector<mesh::team_usage>& usage) {
        usage_[peer] = usage;
    }
    void forget(const base::cell_id& own_cell) { loads_.erase(own_cell); }
    void forget(const base::daemon_id& peer) { usage_.erase(peer); }

    // Usage in all cells of this daemon, one row for each team; sent in the daemon's heartbeats.
    std::vector<mesh::team_usage> own() const;

    // Usage in all cells of the fleet except `cell`, which this daemon owns; a team may have
    // several rows.
    std::vector<mesh::team_usage> elsewhere(const base::cell_id& cell) const;

    // Running slots of each team in the whole fleet.
    std::map<base::team_id, base::slot_count> running() const;

private:
    std::map<base::cell_id, std::vector<policy::team_load>> loads_;  // by own cell
    std::map<base::daemon_id, std::vector<mesh::team_usage>> usage_;
};

}  // namespace cranberrydock::daemon
