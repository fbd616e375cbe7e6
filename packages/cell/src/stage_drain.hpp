// The stage of a graceful hand-over. Whoever waits is told to send the same work again, which meets
// it at the next owner: running tasks go on under their leases, written-down work is read back, and
// the rest was never dispatched or is found on its VM.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"

namespace cranberrydock::cell {

class drain_stage {
public:
    drain_stage(cell_context& context, finish_stage& finish) : context_(context), finish_(finish) {}

    void begin();

    // Says once that the drain is complete: nothing is being written down or started any more.
    void check();

private:
    cell_context& context_;
    finish_stage& finish_;
    bool told_ = false;
};

}  // namespace cranberrydock::cell
