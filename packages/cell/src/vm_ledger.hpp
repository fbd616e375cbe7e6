// What this owner knows of each VM of its cell: who is listed, who has taken its epoch, and the
// last report's reading of the VM's clock, from which leases are stated.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/cell_messages.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cranberrydock::cell {

struct vm_state {
    platform::member listed;
    bool present = true;   // in the newest member list
    bool drained = false;  // by an operator
    bool heard = false;    // has taken this owner's epoch at least once
    bool silent = false;   // its last command failed
    base::time_point first_listed{};
    base::incarnation_id incarnation;
    platform::report_number last_report;
    platform::vm_time vm_now;     // the VM's clock in the last report
    base::time_point received{};  // when that report came in
    base::resources capacity;
    bool leaving = false;               // the VM says so itself
    std::optional<command_id> contact;  // the hello or watch under way
    base::time_point next_contact{};
    std::vector<base::attempt_id> acknowledge;  // to go with the next watch
    std::vector<base::attempt_id> attempts;     // that may be running there
};

class vm_ledger {
public:
    // Takes over the member list. VMs that are gone from it stay until forget().
    void list(const std::vector<platform::member>& members, base::time_point now);

    vm_state* find(const base::vm_id& id);
    void forget(const base::vm_id& id);

    std::map<base::vm_id, vm_state>& all() { return vms_; }
    const std::map<base::vm_id, vm_state>& all() const { return vms_; }

private:
    std::map<base::vm_id, vm_state> vms_;
};

// How the scheduler may use the VM now.
policy::vm_state usable_as(const vm_state& vm);

std::string describe(const vm_state& vm);

}  // namespace cranberrydock::cell
