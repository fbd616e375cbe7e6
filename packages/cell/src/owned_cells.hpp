// The cells that this daemon owns, and how fresh its evidence for each is.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include <map>
#include <optional>

namespace cranberrydock::cell::detail {

enum class hold {
    held,      // in use
    draining,  // drain_cell was sent
    drained,   // nothing of it is under way here: to be offered in the store
};

struct owned_cell {
    base::epoch epoch;
    platform::row_version version;  // of the cell's row; unchanged for as long as it is owned
    // Sending time of the newest write that proves the ownership: nobody takes the cell before
    // this moment plus a lease.
    base::time_point evidence;
    hold state = hold::held;
    bool suspended = false;
    std::optional<operation_id> release;  // the offer under way
    base::time_point next_release{};
};

// A try to take a cell whose result is not known.
struct pending_take {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_version cell_version;   // conditions of the transaction: once one of the two
    base::daemon_id owner;                // rows has another version, it can't be applied any more
    platform::row_version owner_version;  // meaningless without an owner
    base::time_point evidence;            // for the cell, if it is gained
    bool answer_lost = false;
};

using owned_cells = std::map<base::cell_id, owned_cell>;
using pending_takes = std::map<operation_id, pending_take>;

}  // namespace cranberrydock::cell::detail
