// A team's fleet-wide upper limit, divided among the cells: one row a team, "allowance/TEAM",
// holding {cell: slots} with a sum of at most the limit. Pure: what to write is decided here, the
// store's conditions make it safe against other owners doing the same.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::cell {

struct cell_part {
    base::cell_id cell;
    base::slot_count slots;
};

// Invariant: the parts' sum never exceeds the upper limit that they were divided under, save while
// a lowered limit waits for cells to give slots back; then no part grows.
struct allowance_row {
    base::team_id team;
    std::vector<cell_part> parts;
};

std::string encode(const allowance_row& row);
std::optional<allowance_row> decode_allowance(const std::string& text);

// What one cell wants of a team's limit.
struct allowance_demand {
    base::cell_id cell;
    base::slot_count in_use;  // running, and every slot of VMs not heard from yet
    base::slot_count wanted;  // in_use plus what queues could use
};

// The row that this cell should write after seeing `current`: gives back what it does not use,
// takes what is free, never more than the limit leaves, never less than in_use for itself. Nothing
// when the row can stay.
std::optional<allowance_row> next_row(const allowance_row& current, base::slot_count upper_limit,
                                      const allowance_demand& own, std::size_t cells);

}  // namespace cranberrydock::cell
