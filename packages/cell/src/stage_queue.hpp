// The stage that hands a work's tasks to the scheduler, the first time and for every further
// attempt.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"

namespace cranberrydock::cell {

class queue_stage {
public:
    queue_stage(cell_context& context, finish_stage& finish) : context_(context), finish_(finish) {}

    // Queues every task that was not queued yet and has no attempt; refuses the whole work when the
    // scheduler refuses one of them.
    void enqueue(work_state& work);

    // Queues one task again; of a gang, all that wait, once none runs any more. Work that was taken
    // in is never lost to a full queue: it is tried again.
    void enqueue_again(work_state& work, task_state& task);

private:
    void enqueue_one_again(work_state& work, task_state& task);
    void wait(task_state& task, base::duration pause);
    policy::task describe(const work_state& work, const task_state& task) const;

    cell_context& context_;
    finish_stage& finish_;
};

// Whether all tasks of the work that have not ended run at once or not at all.
bool runs_together(const work_state& work);

}  // namespace cranberrydock::cell
