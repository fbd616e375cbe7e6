// Decides which daemon takes a cell, when, and whether the cell may be taken at all.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include "registry_view.hpp"
#include "takeover_hold_off.hpp"

#include <map>
#include <optional>
#include <set>

namespace cranberrydock::cell::detail {

// The VMs that the member list names now, and all that it has ever named. The list lags, so a VM
// that it has never named is new rather than gone.
class listed_vms {
public:
    void update(const std::vector<base::vm_id>& live);
    bool gone(const base::vm_id& vm) const {
        return ever_listed_.count(vm) != 0 && listed_.count(vm) == 0;
    }

private:
    std::set<base::vm_id> ever_listed_;
    std::set<base::vm_id> listed_;
};

// The inputs of a takeover decision.
struct succession_inputs {
    const registry_view& view;
    const listed_vms& vms;
    const granted_hold_offs& hold_offs;
    const std::map<base::daemon_id, base::time_point>& last_contacts;
    // When the configuration first named each cell. No daemon could have taken it before.
    const std::map<base::cell_id, base::time_point>& configured_since;
};

class succession {
public:
    explicit succession(const ownership_settings& settings) : settings_(settings) {}

    // Returns the transaction that takes `cell` if this daemon may take it now. Needs a scan in
    // `view`. The first condition and the only write are for the cell's row. A second condition is
    // for the row of the owner that is replaced.
    std::optional<platform::transaction> claim(const configured_cell& cell,
                                               const succession_inputs& inputs,
                                               base::time_point now) const;

    // Returns the daemons whose rows have not expired, including this one.
    std::vector<daemon_row> live(const registry_view& view) const;

private:
    bool may_claim_now(const configured_cell& cell, const succession_inputs& inputs,
                       base::time_point now) const;
    bool may_replace(const base::daemon_id& owner, const succession_inputs& inputs,
                     base::duration extra_wait, base::time_point now) const;
    std::size_t own_rank(const configured_cell& cell, const base::daemon_id& offered_by,
                         const succession_inputs& inputs) const;
    base::duration first_owner_wait(const configured_cell& cell) const;

    ownership_settings settings_;
};

}  // namespace cranberrydock::cell::detail
