// Where each cell's owner is, and which cell is a job's home.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/mesh/messages.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cranberrydock::daemon {

class routing_table {
public:
    explicit routing_table(base::daemon_id self) : self_(std::move(self)) {}

    void update(const cell::routes_changed& routes) { routes_ = routes; }

    // The cells that this daemon may decide for, gained and not lost.
    void gained(const base::cell_id& cell, base::epoch epoch);
    void lost(const base::cell_id& cell);
    bool owned_here(const base::cell_id& cell) const;
    const std::vector<cell::cell_epoch>& owned() const { return owned_; }

    // Which cells a peer says in its heartbeat that it owns, until it says otherwise or its link is
    // lost. A daemon that the store is cut from learns of takeovers by this alone.
    void claimed(const base::daemon_id& peer, const std::vector<mesh::owned_cell>& owned);
    void forget(const base::daemon_id& peer) { claims_.erase(peer); }

    // The owner of the cell as far as this daemon knows, which is who has it at the highest epoch;
    // nothing while there is none.
    std::optional<base::daemon_id> owner(const base::cell_id& cell) const;

    const cell::routes_changed& routes() const { return routes_; }
    const base::daemon_id& self() const { return self_; }

private:
    base::daemon_id self_;
    cell::routes_changed routes_;
    std::vector<cell::cell_epoch> owned_;
    std::map<base::daemon_id, std::vector<mesh::owned_cell>> claims_;
};

// The home of a job: the rendezvous winner among the cells of its team's home region. Nothing when
// the configuration has no such team or no cell there.
std::optional<base::cell_id> home_cell(const config::configuration& current,
                                       const base::team_id& team, const base::job_id& job);

// The cells of the team's home region, in the order of their names.
std::vector<base::cell_id> home_cells(const config::configuration& current,
                                      const base::team_id& team);

}  // namespace cranberrydock::daemon
