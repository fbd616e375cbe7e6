// Divides a team's fleet-wide upper limit among the cells. Each team has one row, "allowance/TEAM",
// which holds {cell: slots}; the slots add up to at most the limit. These functions are pure: they
// decide what to write, and the conditions of the store's transactions make concurrent writes by
// other owners safe.
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
    base::slot_count unmet;  // slots that the cell could also use but does not hold
};

// Invariant: the parts add up to at most the upper limit that they were divided under. The
// exception is a lowered limit that waits for cells to return slots; no part grows until then.
struct allowance_row {
    base::team_id team;
    std::vector<cell_part> parts;  // at most one per cell
};

platform::row_key allowance_row_key(const base::team_id& team);

std::string encode(const allowance_row& row);
// Reports each invalid field as a finding with its JSON pointer.
tl::expected<allowance_row, base::findings> decode_allowance(const std::string& text);

// What one cell needs of a team's limit.
struct allowance_demand {
    base::cell_id cell;
    base::slot_count in_use;  // running, and all slots of VMs without a report yet
    base::slot_count wanted;  // running plus what queues could use; may be less than in_use
    // Held while idle too, unless another cell lacks slots. A start then does not wait for the
    // store, and starts continue through a store outage.
    base::slot_count reserve;
};

base::slot_count sum_of(const allowance_row& row);
// Returns the cell's part, or a part of zero slots when the row has none.
cell_part part_of(const allowance_row& row, const base::cell_id& cell);

// Returns how many slots the cell may have in use after new starts, including the running ones, by
// this row and limit. Returns zero while the parts add up to more than the limit: no cell starts
// anything then. When other cells lack slots, returns at most this cell's max-min fair part of the
// limit.
base::slot_count start_bound(const allowance_row& row, base::slot_count upper_limit,
                             const allowance_demand& own);

// Returns the row that this cell should write after reading `current`. The cell returns slots that
// it does not use, and slots beyond its fair part when other cells lack slots; it takes free slots
// up to the limit. Its part never falls below in_use, and in_use alone never raises it above the
// limit. Returns nullopt when the row needs no change.
std::optional<allowance_row> next_row(const allowance_row& current, base::slot_count upper_limit,
                                      const allowance_demand& own);

}  // namespace cranberrydock::cell
