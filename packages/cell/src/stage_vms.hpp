// The stage that follows the member list. New VMs get a hello, and leaving VMs get no new tasks. A
// VM that has left the list is forgotten once no task can run there any more.
#pragma once

#include "cell_context.hpp"

namespace cranberrydock::cell {

class vms_stage {
public:
    explicit vms_stage(cell_context& context) : context_(context) {}

    void list(const std::vector<platform::member>& members);
    void drain(const base::vm_id& id, bool drain);

    // Assigns intents of previous owners to the VMs that can report their outcome.
    void attach_recovered();

    void forget_gone();

private:
    cell_context& context_;
};

}  // namespace cranberrydock::cell
