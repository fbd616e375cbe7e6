// What this owner knows of each VM.
#include "vm_ledger.hpp"

namespace cranberrydock::cell {

void vm_ledger::list(const std::vector<platform::member>& members, base::time_point now) {
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

vm_state* vm_ledger::find(const base::vm_id& id) {
    const auto it = vms_.find(id);
    return it == vms_.end() ? nullptr : &it->second;
}

void vm_ledger::forget(const base::vm_id& id) {
    vms_.erase(id);
}

policy::vm_state usable_as(const vm_state& vm) {
    if (!vm.heard || vm.silent) {
        return policy::vm_state::unheard;
    }
    const bool leaves = vm.leaving || vm.listed.state == platform::member_state::leaving;
    if (leaves || vm.drained || !vm.present) {
        return policy::vm_state::draining;
    }
    return policy::vm_state::usable;
}

std::string describe(const vm_state& vm) {
    if (!vm.heard) {
        return "unheard";
    }
    if (vm.silent) {
        return "silent";
    }
    return usable_as(vm) == policy::vm_state::usable ? "usable" : "draining";
}

}  // namespace cranberrydock::cell
