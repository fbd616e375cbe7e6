// The stage of a graceful hand-over. Waiting callers are asked to send the same work again, and it
// joins its first attempt at the next owner. Running tasks continue under their leases, and the
// next owner reads journaled work back. All other work either was never dispatched or is found on
// its VM.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"

namespace cranberrydock::cell {

class drain_stage {
public:
    drain_stage(cell_context& context, finish_stage& finish) : context_(context), finish_(finish) {}

    void begin();

    // Emits `drained` once, when no record or start is pending any more.
    void check();

private:
    cell_context& context_;
    finish_stage& finish_;
    bool reported_ = false;
};

}  // namespace cranberrydock::cell
