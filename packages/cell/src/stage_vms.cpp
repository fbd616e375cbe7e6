// The stage that follows the member list.
#include "stage_vms.hpp"

#include <algorithm>
#include <vector>

namespace cranberrydock::cell {

void vms_stage::list(const std::vector<platform::member>& members) {
    context_.vms.list(members, context_.now);
    context_.member_list_received = true;
    attach_recovered();
    for (const auto& it : context_.vms.all()) {
        context_.publish(it.second);
    }
    context_.publish_teams();
}

void vms_stage::drain(const base::vm_id& id, bool drain) {
    if (vm_state* const vm = context_.vms.find(id); vm != nullptr) {
        vm->drained = drain;
        context_.publish(*vm);
    }
}

void vms_stage::attach_recovered() {
    auto& waiting = context_.recovered_attempts;
    const auto attached = std::remove_if(waiting.begin(), waiting.end(), [this](const attempt& it) {
        vm_state* const vm = context_.vms.find(it.vm);
        if (vm == nullptr) {
            return false;
        }
        vm->attempts.push_back(it.id);
        return true;
    });
    waiting.erase(attached, waiting.end());
}

void vms_stage::forget_gone() {
    std::vector<base::vm_id> gone;
    for (const auto& it : context_.vms.all()) {
        if (!it.second.present && it.second.attempts.empty() && !it.second.contact) {
            gone.push_back(it.first);
        }
    }
    for (const auto& id : gone) {
        context_.scheduler.remove_vm(id);
        context_.vms.forget(id);
        context_.promises.forget(id);
    }
}

}  // namespace cranberrydock::cell
