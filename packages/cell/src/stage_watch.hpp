// The stage that keeps contact with VMs. It sends a hello until the VM has accepted this owner's
// epoch, then one watch after another. A watch renews leases and returns a report.
#pragma once

#include "cell_context.hpp"

namespace cranberrydock::cell {

class watch_stage {
public:
    explicit watch_stage(cell_context& context) : context_(context) {}

    void contact_all();
    void contact(vm_state& vm);

private:
    void hello(vm_state& vm);
    void watch(vm_state& vm);

    cell_context& context_;
};

}  // namespace cranberrydock::cell
