// The stage that processes the answers of VMs: verdicts on commands, and reports of the tasks that
// run or have ended there. Only a report proves that a task runs or has ended.
#pragma once

#include "cell_context.hpp"
#include "stage_dispatch.hpp"
#include "stage_finish.hpp"
#include "stage_retry.hpp"

namespace cranberrydock::cell {

class collect_stage {
public:
    collect_stage(cell_context& context, dispatch_stage& dispatch, finish_stage& finish,
                  retry_stage& retry)
        : context_(context), dispatch_(dispatch), finish_(finish), retry_(retry) {}

    void collect(const vm_answered& event);

private:
    void on_error(vm_state& vm, const pending_command& pending, platform::vm_error error);
    void on_verdict(const pending_command& pending, platform::vm_verdict verdict);
    void process_report(vm_state& vm, const platform::vm_report& report,
                        base::time_point requested_at);
    bool accept_report(vm_state& vm, const platform::vm_report& report);
    void handle_running(vm_state& vm, const platform::running_task& seen, bool first_report);
    void handle_finished(vm_state& vm, const platform::finished_task& seen);
    void refuse_as_unknown(work_state& work, const task_state& task);
    void handle_missing(vm_state& vm, const platform::vm_report& report);
    void adopt(vm_state& vm, const platform::running_task& seen);
    void adopt_finished(vm_state& vm, const platform::finished_task& seen);
    void check_origin(const vm_state& vm, const base::attempt_id& id, bool first_report);
    void end_attempt(work_state& work, task_state& task, const platform::finished_task& seen);
    void stop_orphan(const vm_state& vm, const base::attempt_id& id);
    void count_running(const vm_state& vm, const work_state& work, task_state& task,
                       const platform::running_task& seen);
    attempt attempt_on(const vm_state& vm, const base::attempt_id& id) const;
    task_ref task_of_orphan(const base::task_id& id, const base::team_id& team);

    cell_context& context_;
    dispatch_stage& dispatch_;
    finish_stage& finish_;
    retry_stage& retry_;
};

}  // namespace cranberrydock::cell
