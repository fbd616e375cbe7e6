// The stage that decides what follows an attempt without an answer: another attempt after a pause,
// or a refusal that lists the reasons of all attempts.
#pragma once

#include "cell_context.hpp"
#include "stage_finish.hpp"
#include "stage_queue.hpp"

#include <string>

namespace cranberrydock::cell {

class retry_stage {
public:
    retry_stage(cell_context& context, queue_stage& queue, finish_stage& finish)
        : context_(context), queue_(queue), finish_(finish) {}

    // The attempt is proven not to have run, so the task may always be tried again.
    void not_run(work_state& work, task_state& task, const std::string& reason);

    // The owner stopped the attempt itself in order to start it again. This uses up neither an
    // attempt nor a retry of the team.
    void stopped(work_state& work, task_state& task, const policy::task_completion& completion);

    // The attempt ended without an answer, or its lease expired. Only for work that may be
    // repeated.
    void failed(work_state& work, task_state& task, const policy::task_completion& completion,
                const std::string& reason);

    // The pause before the task's next attempt has ended.
    void pause_ended(work_state& work, task_state& task);

    // Stops the running tasks of the gang, so that they start again with the others.
    void restart_gang(work_state& work);

private:
    bool spend_retry(work_state& work, task_state& task, const std::string& reason);
    void wait_until(task_state& task, base::time_point when);
    void back_off(work_state& work, task_state& task);

    cell_context& context_;
    queue_stage& queue_;
    finish_stage& finish_;
};

}  // namespace cranberrydock::cell
