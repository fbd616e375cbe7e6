// The stage that reads what VMs say: verdicts on commands, and reports of what runs and what has
// ended there. A report is the only proof of either.
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
    void absorb(vm_state& vm, const platform::vm_report& report, base::time_point asked);
    bool take_over_report(vm_state& vm, const platform::vm_report& report);
    void see_running(vm_state& vm, const platform::running_task& seen, bool first_report);
    void see_finished(vm_state& vm, const platform::finished_task& seen);
    void tell_unknown(work_state& work, const task_state& task);
    void see_missing(vm_state& vm, const platform::vm_report& report);
    void adopt(vm_state& vm, const platform::running_task& seen);
    void adopt_finished(vm_state& vm, const platform::finished_task& seen);
    void check_origin(const vm_state& vm, const base::attempt_id& id, bool first_report);
    void end_attempt(work_state& work, task_state& task, const platform::finished_task& seen);
    void stop_stray(const vm_state& vm, const base::attempt_id& id);
    void count_in(const vm_state& vm, const work_state& work, task_state& task,
                  const platform::running_task& seen);
    attempt attempt_on(const vm_state& vm, const base::attempt_id& id) const;
    task_ref task_of_stray(const base::task_id& id, const base::team_id& team);

    cell_context& context_;
    dispatch_stage& dispatch_;
    finish_stage& finish_;
    retry_stage& retry_;
};

}  // namespace cranberrydock::cell
