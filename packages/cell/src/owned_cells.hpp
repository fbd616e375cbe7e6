// The cells that this daemon owns, and the age of its evidence for each.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include <map>
#include <optional>

namespace cranberrydock::cell::detail {

enum class drain_state {
    held,      // in use
    draining,  // drain_cell was sent
    drained,   // no work is pending here; the cell is to be offered in the store
};

struct owned_cell {
    base::epoch epoch;
    platform::row_version version;  // of the cell's row; constant while the cell is owned
    // Sending time of the newest write that proves the ownership. No other daemon takes the cell
    // within one lease after this time.
    base::time_point evidence;
    drain_state state = drain_state::held;
    bool suspended = false;
    std::optional<operation_id> release;  // the pending write that offers the cell
    base::time_point next_release{};
};

// A claim of a cell whose result is not known. The two versions are the conditions of its
// transaction: once one of the two rows has another version, the claim can't be applied any more.
struct pending_claim {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_version cell_version;
    base::daemon_id owner;
    platform::row_version owner_version;  // meaningless without an owner
    base::time_point evidence;            // for the cell, if it is gained
    bool answer_lost = false;
};

using owned_cells = std::map<base::cell_id, owned_cell>;
using pending_claims = std::map<operation_id, pending_claim>;

}  // namespace cranberrydock::cell::detail
