// This owner's record of each VM of its cell: whether it is listed, whether it has accepted this
// owner's epoch, and the VM's clock in its last report, on which leases are based.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/cell_messages.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cranberrydock::cell {

struct vm_state {
    platform::member listed;
    bool present = true;        // in the newest member list
    bool drained = false;       // by an operator
    bool reported = false;      // under this owner's epoch at least once
    bool unresponsive = false;  // its last command failed
    base::time_point first_listed{};
    base::incarnation_id incarnation;
    platform::report_number last_report;
    platform::vm_time vm_now;     // the VM's clock in the last report
    base::time_point received{};  // when that report arrived
    base::resources capacity;
    bool leaving = false;               // as the VM itself reports
    std::optional<command_id> contact;  // the pending hello or watch
    base::time_point next_contact{};
    std::vector<base::attempt_id> acknowledge;  // sent with the next watch
    std::vector<base::attempt_id> attempts;     // that may be running there
};

class vm_table {
public:
    // Applies the member list. VMs that are no longer listed stay until forget().
    void list(const std::vector<platform::member>& members, base::time_point now);

    vm_state* find(const base::vm_id& id);
    void forget(const base::vm_id& id);

    std::map<base::vm_id, vm_state>& all() { return vms_; }
    const std::map<base::vm_id, vm_state>& all() const { return vms_; }

private:
    std::map<base::vm_id, vm_state> vms_;
};

// The state in which the scheduler should see the VM.
policy::vm_state scheduler_state(const vm_state& vm);

std::string describe(const vm_state& vm);

}  // namespace cranberrydock::cell
