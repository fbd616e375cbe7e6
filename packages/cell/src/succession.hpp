// Who takes a cell, when, and whether it may be taken at all.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include "registry_view.hpp"
#include "silence.hpp"

#include <map>
#include <optional>
#include <set>

namespace cranberrydock::cell::detail {

// Which VMs the member list has ever named and which it names now. It lags, so a VM that it has
// never named is a new one and not a gone one.
class listed_vms {
public:
    void take_in(const std::vector<base::vm_id>& live);
    bool gone(const base::vm_id& vm) const { return ever_.count(vm) != 0 && live_.count(vm) == 0; }

private:
    std::set<base::vm_id> ever_;
    std::set<base::vm_id> live_;
};

// What a decision looks at.
struct surroundings {
    const registry_view& view;
    const listed_vms& vms;
    const promises_given& promises;
    const std::map<base::daemon_id, base::time_point>& heard;
    // When the configuration first named each cell: before, nobody could have taken it.
    const std::map<base::cell_id, base::time_point>& known_since;
};

class succession {
public:
    explicit succession(const ownership_settings& settings) : settings_(settings) {}

    // The transaction that takes `cell`, when this daemon's turn has come. Needs a scan in `view`.
    // Its first condition and its only write are for the cell's row; a second condition, for the
    // row of the owner that is replaced.
    std::optional<platform::transaction> take(const known_cell& cell, const surroundings& around,
                                              base::time_point now) const;

    // Daemons whose rows have not lapsed, this one included.
    std::vector<daemon_row> live(const registry_view& view) const;

private:
    bool turn_has_come(const known_cell& cell, const surroundings& around,
                       base::time_point now) const;
    bool may_replace(const base::daemon_id& owner, const surroundings& around, base::duration extra,
                     base::time_point now) const;
    std::size_t own_rank(const known_cell& cell, const base::daemon_id& offered_by,
                         const surroundings& around) const;
    base::duration first_owner_wait(const known_cell& cell) const;

    ownership_settings settings_;
};

}  // namespace cranberrydock::cell::detail
