// This owner's record of each VM.
#include "vm_table.hpp"

namespace cranberrydock::cell {

void vm_table::list(const std::vector<platform::member>& members, base::time_point now) {
    for (auto& it : vms_) {
        it.second.present = false;
    }
    for (const auto& it : members) {
        auto found = vms_.find(it.id);
        if (found == vms_.end()) {
            found = vms_.emplace(it.id, vm_state{}).first;
            found->second.first_listed = now;
            found->second.capacity = it.capacity;
        }
        found->second.present = true;
        found->second.listed = it;
    }
}

vm_state* vm_table::find(const base::vm_id& id) {
    const auto it = vms_.find(id);
    return it == vms_.end() ? nullptr : &it->second;
}

void vm_table::forget(const base::vm_id& id) {
    vms_.erase(id);
}

policy::vm_state scheduler_state(const vm_state& vm) {
    if (!vm.reported || vm.unresponsive) {
        return policy::vm_state::unreported;
    }
    const bool leaves = vm.leaving || vm.listed.state == platform::member_state::leaving;
    if (leaves || vm.drained || !vm.present) {
        return policy::vm_state::draining;
    }
    return policy::vm_state::usable;
}

std::string describe(const vm_state& vm) {
    if (!vm.reported) {
        return "unheard";
    }
    if (vm.unresponsive) {
        return "silent";
    }
    return scheduler_state(vm) == policy::vm_state::usable ? "usable" : "draining";
}

}  // namespace cranberrydock::cell
