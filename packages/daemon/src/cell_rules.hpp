// The part of the configuration in force that a cell uses: queues, attempt limits, and each team's
// share and its part of the team's upper limit.
#pragma once

#include <cranberrydock/cell/allowance_manager.hpp>
#include <cranberrydock/cell/cell_messages.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/mesh/messages.hpp>

#include <vector>

namespace cranberrydock::daemon {

// A team's part of its upper limit in one cell: the limit is divided evenly among the cells of the
// team's home region, and the first cells get one slot more each until the remainder is used up.
// The sum of the parts is the limit.
base::slot_count even_part(const config::configuration& current, const config::team& team,
                           const base::cell_id& cell);

// The upper limits of all teams, each with the even part as the reserve of this cell.
std::vector<cell::team_limit> limits_for(const config::configuration& current,
                                         const base::cell_id& cell);

// The queues and teams of the configuration as rules for a cell. Allowances are left at zero: the
// cell's owner fills in the part of each team's limit that it holds. `elsewhere` lists the slots in
// use in other cells, as last reported by their owners.
cell::rules_changed rules_for(const config::configuration& current,
                              const std::vector<mesh::team_usage>& elsewhere);

}  // namespace cranberrydock::daemon
