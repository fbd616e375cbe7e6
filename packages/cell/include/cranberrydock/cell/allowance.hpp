// A team's fleet-wide upper limit, divided among the cells: one row a team, "allowance/TEAM",
// holding {cell: slots} with a sum of at most the limit. Pure: what to write is decided here, the
// store's conditions make it safe against other owners doing the same.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::cell {

constexpr const char* allowance_prefix = "allowance/";

struct cell_part {
    base::cell_id cell;
    base::slot_count slots;
    base::slot_count unmet;  // what the cell could use besides and does not get
};

// Invariant: the parts' sum never exceeds the upper limit that they were divided under, save while
// a lowered limit waits for cells to give slots back; then no part grows.
struct allowance_row {
    base::team_id team;
    std::vector<cell_part> parts;  // one a cell at most
};

platform::row_key allowance_row_key(const base::team_id& team);

std::string encode(const allowance_row& row);
// Every fault of the text is a finding with its JSON pointer.
tl::expected<allowance_row, base::findings> decode_allowance(const std::string& text);

// What one cell wants of a team's limit.
struct allowance_demand {
    base::cell_id cell;
    base::slot_count in_use;  // running, and every slot of VMs not heard from yet
    base::slot_count wanted;  // running plus what queues could use; may be less than in_use
    // Held also while idle, unless another cell lacks slots: so that a start need not wait for the
    // store, and goes on through its outage.
    base::slot_count reserve;
};

base::slot_count sum_of(const allowance_row& row);
// The cell's part; zero slots when the row has none.
cell_part part_of(const allowance_row& row, const base::cell_id& cell);

// How many slots the cell may fill now with new starts as far as this row and limit go, running
// ones counted in. Zero while the parts' sum is above the limit: then nobody starts anything. When
// other cells lack slots, this cell's max-min fair part of the limit.
base::slot_count start_bound(const allowance_row& row, base::slot_count upper_limit,
                             const allowance_demand& own);

// The row that this cell should write after seeing `current`: gives back what it does not use, and
// what is beyond its fair part when other cells lack slots; takes what is free, never more than the
// limit leaves. A part never falls under in_use, and in_use alone never makes it grow beyond the
// limit. Nothing when the row can stay.
std::optional<allowance_row> next_row(const allowance_row& current, base::slot_count upper_limit,
                                      const allowance_demand& own);

}  // namespace cranberrydock::cell
