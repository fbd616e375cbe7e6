// What a cell must know of the configuration in force: queues, attempt limits, and each team's
// share and part of its upper limit.
#pragma once

#include <cranberrydock/cell/allowance_keeper.hpp>
#include <cranberrydock/cell/cell_messages.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/mesh/messages.hpp>

#include <vector>

namespace cranberrydock::daemon {

// A team's part of its upper limit in one cell: the limit divided evenly among the cells of its
// home region, the remainder to the first ones. The parts' sum is the limit.
base::slot_count even_part(const config::configuration& current, const config::team& team,
                           const base::cell_id& cell);

// Every team's upper limit, with the even part as this cell's reserve.
std::vector<cell::team_limit> limits_for(const config::configuration& current,
                                         const base::cell_id& cell);

// Allowances are left at zero: the cell's owner fills in what it holds of each team's limit.
// `elsewhere`: slots in use in other cells, as their owners last said.
cell::rules_changed rules_for(const config::configuration& current,
                              const std::vector<mesh::team_usage>& elsewhere);

}  // namespace cranberrydock::daemon
