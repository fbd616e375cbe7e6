// The last stage: a work's outcome is set, written down where that is owed, and told to everyone
// who waits for it. VMs are allowed to forget an answer only after that.
#pragma once

#include "cell_context.hpp"

namespace cranberrydock::cell {

class finish_stage {
public:
    explicit finish_stage(cell_context& context) : context_(context) {}

    // The task has its answer; the work is answered when all its tasks are.
    void complete_task(work_state& work, task_state& task, base::task_answer answer,
                       const policy::task_ended& how);

    // Ends the work with a refusal; what still runs is stopped.
    void refuse(work_state& work, base::refusal why);

    // Takes the task's current attempt off its VM in all books.
    void release(task_state& task, const policy::task_ended& how);

    // Writes the outcome down; again when the store was unavailable.
    void record_outcome(const work_state& work);

    // The outcome stands in the journal.
    void outcome_durable(work_state& work);

    // Counts and answers a refusal of work that was never taken in.
    void refuse_at_once(reply_id to, const base::refusal& why);

    void send_stop(const task_state& task);

private:
    void finish(work_state& work, base::work_outcome outcome);
    void stop_task(task_state& task);
    void tell(work_state& work);
    void acknowledge(work_state& work);

    cell_context& context_;
};

// Whether the work's outcome is written down before its answers may be forgotten.
bool needs_record(const base::work& what);

}  // namespace cranberrydock::cell
