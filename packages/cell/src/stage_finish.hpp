// The last stage. Sets the outcome of work, writes it to the journal where required, and answers
// all waiting callers. VMs may forget an answer only after that.
#pragma once

#include "cell_context.hpp"

namespace cranberrydock::cell {

class finish_stage {
public:
    explicit finish_stage(cell_context& context) : context_(context) {}

    // Stores the task's answer; the work is answered once all its tasks are.
    void complete_task(work_state& work, task_state& task, base::task_answer answer,
                       const policy::task_completion& completion);

    // Ends the work with a refusal and stops its running tasks.
    void refuse(work_state& work, base::refusal refused);

    // Removes the task's current attempt from its VM, the scheduler and the work table.
    void release(task_state& task, const policy::task_completion& completion);

    // Writes the outcome to the journal. Called again after a store outage.
    void record_outcome(const work_state& work);

    // The outcome is in the journal.
    void outcome_durable(work_state& work);

    // Counts and answers a refusal of work that was never accepted.
    void refuse_at_once(reply_id caller, const base::refusal& refused);

    void send_stop(const task_state& task);

private:
    void finish(work_state& work, base::work_outcome outcome);
    void stop_task(task_state& task);
    void answer_waiters(work_state& work);
    void acknowledge(work_state& work);

    cell_context& context_;
};

// Whether the work's outcome must be in the journal before VMs may forget its answers.
bool needs_record(const base::work& spec);

}  // namespace cranberrydock::cell
