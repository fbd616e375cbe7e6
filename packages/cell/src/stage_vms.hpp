// The stage that follows the member list: new VMs are greeted, leaving ones get nothing new, and
// one that is gone is forgotten once nothing can run there any more.
#pragma once

#include "cell_context.hpp"

namespace cranberrydock::cell {

class vms_stage {
public:
    explicit vms_stage(cell_context& context) : context_(context) {}

    void list(const std::vector<platform::member>& members);
    void drain(const base::vm_id& id, bool drain);

    // Ties intents of earlier owners to the VMs that can tell what became of them.
    void attach_recovered();

    void forget_gone();

private:
    cell_context& context_;
};

}  // namespace cranberrydock::cell
