// The stage that keeps contact with VMs.
#include "stage_watch.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::cell {

void watch_stage::contact_all() {
    for (auto& it : context_.vms.all()) {
        contact(it.second);
    }
}

void watch_stage::contact(vm_state& vm) {
    const bool gone = !vm.present && vm.attempts.empty();
    const bool too_early = context_.now < vm.next_contact;
    if (vm.contact || too_early || gone || context_.replaced || context_.draining) {
        return;
    }
    if (vm.reported) {
        watch(vm);
    } else {
        hello(vm);
    }
}

void watch_stage::hello(vm_state& vm) {
    vm.contact = context_.command(vm, platform::hello_command{}, context_.settings.command_timeout,
                                  {pending_command::kind::contact, vm.listed.id, {}});
}

void watch_stage::watch(vm_state& vm) {
    platform::watch_command out;
    out.incarnation = vm.incarnation;
    out.after = vm.last_report;
    // A VM that was unresponsive is asked for a report at once.
    out.wait = vm.unresponsive ? base::milliseconds{0} : context_.settings.watch_wait;
    out.acknowledge.swap(vm.acknowledge);
    if (context_.may_renew()) {
        out.lease_until = context_.lease_end(vm);
        for (const auto& id : vm.attempts) {
            const task_ref ref = context_.table.find_attempt(id);
            if (!ref || ref.task->current->incarnation != vm.incarnation) {
                continue;
            }
            out.renew.push_back(id);
            ref.task->current->expires_at =
                std::max(ref.task->current->expires_at, context_.lease_expiry_after(vm));
        }
    }
    const base::milliseconds timeout = out.wait + context_.settings.command_timeout;
    vm.contact = context_.command(vm, std::move(out), timeout,
                                  {pending_command::kind::contact, vm.listed.id, {}});
}

}  // namespace cranberrydock::cell
