// The stage that decides on further attempts.
#include "stage_retry.hpp"

#include "stage_finish.hpp"

#include <algorithm>

namespace cranberrydock::cell {
namespace {

std::string join_reasons(const task_state& task) {
    std::string out;
    for (const auto& it : task.attempt_reasons) {
        out += (out.empty() ? "" : "; ") + it;
    }
    return out;
}

}  // namespace

void retry_stage::not_run(work_state& work, task_state& task, const std::string& reason) {
    context_.metrics.count("cranberrydock_retries_total", "reason=\"" + reason + "\"");
    context_.trace(work, "retry", task.current ? task.current->vm.str() : "", "not run: " + reason);
    if (needs_record(work.spec) && !work.spec.repeatable && task.current) {
        context_.record(not_run_record{work.spec.job, task.id, task.current->id},
                        {pending_record::kind::not_run, work.spec.job, task.id, task.current->id});
    }
    finish_.release(task, {task.id, policy::completion_kind::stopped, {}, {}});
    // A refused start is not an attempt, so it must not count towards the limit.
    task.attempts = std::max(0, task.attempts - 1);
    back_off(work, task);
    if (runs_together(work)) {
        restart_gang(work);
    }
}

void retry_stage::stopped(work_state& work, task_state& task,
                          const policy::task_completion& completion) {
    const std::string vm_name = task.current ? task.current->vm.str() : "";
    context_.trace(work, "attempt", vm_name, "stopped for a restart", completion.run_time);
    finish_.release(task, completion);
    task.attempts = std::max(0, task.attempts - 1);
    back_off(work, task);
}

void retry_stage::failed(work_state& work, task_state& task,
                         const policy::task_completion& completion, const std::string& reason) {
    const std::string vm_name = task.current ? task.current->vm.str() : "";
    task.attempt_reasons.push_back(vm_name + ": " + reason);
    context_.trace(work, "attempt", vm_name, reason, completion.run_time);
    finish_.release(task, completion);
    if (work.outcome || work.cancelled) {
        task.phase = task_phase::ended;
        return;
    }
    if (!work.known) {
        // No caller waits for it here; the caller's retry starts it anew.
        task.phase = task_phase::held;
        return;
    }
    if (task.attempts >= context_.max_attempts(work.spec.queue)) {
        task.phase = task_phase::ended;
        finish_.refuse(work,
                       {base::refusal_reason::attempts_exhausted, false, base::milliseconds{0},
                        "every attempt failed: " + join_reasons(task)});
        return;
    }
    if (!spend_retry(work, task, reason)) {
        return;
    }
    context_.metrics.count("cranberrydock_retries_total", "reason=\"attempt_failed\"");
    if (runs_together(work)) {
        restart_gang(work);
    }
}

// Takes the retry from the team's budget and sets its time. Returns false when the work was refused
// instead. Accepted jobs wait until the budget has filled again.
bool retry_stage::spend_retry(work_state& work, task_state& task, const std::string& reason) {
    policy::failed_attempt last;
    last.attempts_made = task.attempts;
    last.may_run_again = true;
    last.refusal = {base::refusal_reason::attempts_exhausted, false, base::milliseconds{0}, reason};
    const auto decision =
        context_.budget_of(work.spec.team).decide(last, context_.now, context_.random);
    if (const auto* const again = std::get_if<policy::retry_at>(&decision)) {
        wait_until(task, again->when);
        return true;
    }
    if (work.spec.durable) {
        wait_until(task, context_.now + context_.settings.max_backoff);
        return true;
    }
    task.phase = task_phase::ended;
    finish_.refuse(work, std::get<policy::no_retry>(decision).refusal);
    return false;
}

void retry_stage::wait_until(task_state& task, base::time_point when) {
    task.phase = task_phase::backing_off;
    task.retry_at = when;
    context_.timers.add(when, retry_timer{task.id});
}

void retry_stage::back_off(work_state& work, task_state& task) {
    if (!work.known) {
        task.phase = task_phase::held;
        return;
    }
    // Nothing has run, so the team's budget is not charged.
    wait_until(task, context_.now + context_.settings.retry_backoff);
}

// The tasks of a gang run together or not at all: when one task has to start again, all others do
// too.
void retry_stage::restart_gang(work_state& work) {
    for (auto& it : work.tasks) {
        const bool runs = it.phase == task_phase::starting || it.phase == task_phase::running;
        if (runs && !it.current->restart_when_stopped) {
            it.current->restart_when_stopped = true;
            finish_.send_stop(it);
        }
    }
}

void retry_stage::pause_ended(work_state& work, task_state& task) {
    if (task.phase != task_phase::backing_off || context_.now < task.retry_at) {
        return;
    }
    queue_.requeue(work, task);
}

}  // namespace cranberrydock::cell
