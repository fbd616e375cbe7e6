// The stage that passes the tasks of work to the scheduler, for the first attempt and for every
// further one.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"

namespace cranberrydock::cell {

class queue_stage {
public:
    queue_stage(cell_context& context, finish_stage& finish) : context_(context), finish_(finish) {}

    // Queues every task that has not been queued yet and has no attempt. Refuses the entire work
    // when the scheduler refuses one task.
    void enqueue(work_state& work);

    // Queues one task again. For a gang, queues all waiting tasks once none of its tasks runs any
    // more. Accepted work is never lost to a full queue: queueing is tried again.
    void requeue(work_state& work, task_state& task);

private:
    void requeue_task(work_state& work, task_state& task);
    void wait(task_state& task, base::duration pause);
    policy::task describe(const work_state& work, const task_state& task) const;

    cell_context& context_;
    finish_stage& finish_;
};

// Whether all tasks of the work that have not ended must run at the same time or not at all.
bool runs_together(const work_state& work);

}  // namespace cranberrydock::cell
