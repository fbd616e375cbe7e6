// The stages between a decision and a running task: place the task, write its intent to the journal
// if it may not be repeated, and send the start to the VM.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"
#include "stage_retry.hpp"

namespace cranberrydock::cell {

class dispatch_stage {
public:
    dispatch_stage(cell_context& context, finish_stage& finish, retry_stage& retry)
        : context_(context), finish_(finish), retry_(retry) {}

    // Takes the scheduler's decisions and carries them out.
    void place();

    void intent_durable(work_state& work, task_state& task);
    void intent_failed(work_state& work, task_state& task, bool may_be_written);

    // Sends the start of the task's current attempt. Sending it again is safe, because a VM runs an
    // attempt once.
    void send_start(work_state& work, task_state& task);

private:
    void carry_out(const policy::placement& decision);
    void carry_out(const policy::abandonment& decision);
    void carry_out(const policy::preemption& decision);

    cell_context& context_;
    finish_stage& finish_;
    retry_stage& retry_;
};

}  // namespace cranberrydock::cell
