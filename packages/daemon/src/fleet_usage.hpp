// What teams use in the whole fleet, as far as this daemon knows: in its own cells as their
// deciders say, elsewhere as other daemons' heartbeats say.
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

    // In all cells of this daemon, a row a team: for its heartbeats.
    std::vector<mesh::team_usage> own() const;

    // In every cell but this one of this daemon's; a team may have several rows.
    std::vector<mesh::team_usage> elsewhere(const base::cell_id& cell) const;

    // In the whole fleet.
    std::map<base::team_id, base::slot_count> running() const;

private:
    std::map<base::cell_id, std::vector<policy::team_load>> loads_;
    std::map<base::daemon_id, std::vector<mesh::team_usage>> usage_;
};

}  // namespace cranberrydock::daemon
