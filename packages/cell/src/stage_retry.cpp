// The stage that decides about further attempts.
#include "stage_retry.hpp"

#include "stage_finish.hpp"

#include <algorithm>

namespace cranberrydock::cell {
namespace {

std::string reasons_of(const task_state& task) {
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
    if (needs_record(work.what) && !work.what.repeatable && task.current) {
        context_.record(not_run_record{work.what.job, task.id, task.current->id},
                        {pending_record::kind::not_run, work.what.job, task.id, task.current->id});
    }
    finish_.release(task, {task.id, policy::end_kind::stopped, {}, {}});
    // A start that was refused is no attempt: it must not use up the limit.
    task.attempts = std::max(0, task.attempts - 1);
    back_off(work, task);
    if (runs_together(work)) {
        restart_gang(work);
    }
}

void retry_stage::stopped(work_state& work, task_state& task, const policy::task_ended& how) {
    const std::string where = task.current ? task.current->vm.str() : "";
    context_.trace(work, "attempt", where, "stopped to start again", how.ran_for);
    finish_.release(task, how);
    task.attempts = std::max(0, task.attempts - 1);
    back_off(work, task);
}

void retry_stage::failed(work_state& work, task_state& task, const policy::task_ended& how,
                         const std::string& reason) {
    const std::string where = task.current ? task.current->vm.str() : "";
    task.attempt_reasons.push_back(where + ": " + reason);
    context_.trace(work, "attempt", where, reason, how.ran_for);
    finish_.release(task, how);
    if (work.outcome || work.cancelled) {
        task.phase = task_phase::ended;
        return;
    }
    if (!work.known) {
        // Nobody waits for it here; its caller's retry starts it anew.
        task.phase = task_phase::held;
        return;
    }
    if (task.attempts >= context_.max_attempts(work.what.queue)) {
        task.phase = task_phase::ended;
        finish_.refuse(work, {base::refusal_reason::attempts_exhausted, false,
                              base::milliseconds{0}, "every attempt failed: " + reasons_of(task)});
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

// Takes the retry out of the team's budget and sets its time. False when the work was refused
// instead; accepted jobs wait for the budget to fill again.
bool retry_stage::spend_retry(work_state& work, task_state& task, const std::string& reason) {
    policy::failed_attempt last;
    last.attempts = task.attempts;
    last.may_run_again = true;
    last.why = {base::refusal_reason::attempts_exhausted, false, base::milliseconds{0}, reason};
    const auto decision =
        context_.budget_of(work.what.team).after(last, context_.now, context_.random);
    if (const auto* const again = std::get_if<policy::retry_at>(&decision)) {
        wait_until(task, again->when);
        return true;
    }
    if (work.what.durable) {
        wait_until(task, context_.now + context_.settings.longest_backoff);
        return true;
    }
    task.phase = task_phase::ended;
    finish_.refuse(work, std::get<policy::no_retry>(decision).why);
    return false;
}

void retry_stage::wait_until(task_state& task, base::time_point when) {
    task.phase = task_phase::backing_off;
    task.retry_at = when;
    context_.due.add(when, retry_due{task.id});
}

void retry_stage::back_off(work_state& work, task_state& task) {
    if (!work.known) {
        task.phase = task_phase::held;
        return;
    }
    // Nothing has run, so this costs the team no retry.
    wait_until(task, context_.now + context_.settings.retry_backoff);
}

// The tasks of a gang run together or not at all: when one has to start again, the others do too.
void retry_stage::restart_gang(work_state& work) {
    for (auto& it : work.tasks) {
        const bool runs = it.phase == task_phase::starting || it.phase == task_phase::running;
        if (runs && !it.current->restart_when_stopped) {
            it.current->restart_when_stopped = true;
            finish_.send_stop(it);
        }
    }
}

void retry_stage::due(work_state& work, task_state& task) {
    if (task.phase != task_phase::backing_off || context_.now < task.retry_at) {
        return;
    }
    queue_.enqueue_again(work, task);
}

}  // namespace cranberrydock::cell
