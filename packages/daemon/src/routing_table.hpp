// The owner of each cell, and the home cell of each job.
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

    // The cells that this daemon owns and decides for.
    void add_owned(const base::cell_id& cell, base::epoch epoch);
    void remove_owned(const base::cell_id& cell);
    bool owned_here(const base::cell_id& cell) const;
    const std::vector<cell::cell_epoch>& owned() const { return owned_; }

    // Sets the cells that a peer claims to own in its heartbeat, until its next heartbeat or until
    // its link is lost. A daemon that can't reach the store learns of takeovers from these claims
    // alone.
    void set_claims(const base::daemon_id& peer, const std::vector<mesh::owned_cell>& owned);
    void forget(const base::daemon_id& peer) { claims_.erase(peer); }

    // The owner of the cell by the registry and the claims, which is the daemon that has it at the
    // highest epoch; nothing while there is none.
    std::optional<base::daemon_id> owner(const base::cell_id& cell) const;

    const cell::routes_changed& routes() const { return routes_; }
    const base::daemon_id& self() const { return self_; }

private:
    base::daemon_id self_;
    cell::routes_changed routes_;
    std::vector<cell::cell_epoch> owned_;
    std::map<base::daemon_id, std::vector<mesh::owned_cell>> claims_;
};

// The home cell of a job: the first cell of its team's home region in the rendezvous order of the
// job id. Nothing when the configuration has no such team or no cell in the region.
std::optional<base::cell_id> home_cell(const config::configuration& current,
                                       const base::team_id& team, const base::job_id& job);

// The cells of the team's home region, sorted by name.
std::vector<base::cell_id> home_cells(const config::configuration& current,
                                      const base::team_id& team);

}  // namespace cranberrydock::daemon
