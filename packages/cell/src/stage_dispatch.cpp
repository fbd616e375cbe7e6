// From a placement decision to a running task.
#include "stage_dispatch.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::cell {
namespace {

constexpr base::milliseconds store_retry_delay{500};

}  // namespace

void dispatch_stage::place() {
    if (!context_.may_start()) {
        return;
    }
    const auto decisions =
        context_.scheduler.decide(context_.now, context_.settings.decisions_per_event);
    for (const auto& it : decisions) {
        std::visit([this](const auto& decision) { carry_out(decision); }, it);
    }
}

void dispatch_stage::carry_out(const policy::placement& decision) {
    const task_ref ref = context_.table.find_task(decision.task);
    vm_state* const vm = context_.vms.find(decision.vm);
    if (!ref || vm == nullptr || ref.task->phase != task_phase::queued) {
        // The scheduler counts the task as running, but no such queued task exists here.
        context_.scheduler.record_completion(
            {decision.task, policy::completion_kind::stopped, {}, {}}, context_.now);
        return;
    }
    task_state& task = *ref.task;
    ref.work->dispatched = true;
    attempt next;
    next.id = context_.next_attempt_id();
    next.vm = decision.vm;
    next.incarnation = vm->incarnation;
    next.number = ++task.attempts;
    next.reserved = decision.reserve;
    next.placed = context_.now;
    next.expires_at = context_.lease_expiry_after(*vm);
    next.counted = true;
    vm->attempts.push_back(next.id);
    context_.trace(*ref.work, "place", decision.vm.str(), "attempt " + next.id.str(),
                   context_.now - task.queued);
    context_.metrics.observe("cranberrydock_wait_seconds",
                             "queue=\"" + ref.work->spec.queue.str() + "\"",
                             std::chrono::duration<double>(context_.now - task.queued).count());
    context_.metrics.count("cranberrydock_placements_total", "");
    context_.table.begin_attempt(task, std::move(next));
    if (ref.work->spec.repeatable) {
        send_start(*ref.work, task);
        return;
    }
    task.phase = task_phase::recording_intent;
    const attempt& current = *task.current;
    context_.record(
        intent_record{ref.work->spec.job, ref.work->spec.team, ref.work->spec.digest, task.id,
                      current.id, current.vm, current.incarnation, current.number},
        {pending_record::kind::intent, ref.work->spec.job, task.id, current.id});
}

void dispatch_stage::carry_out(const policy::abandonment& decision) {
    if (const task_ref ref = context_.table.find_task(decision.task)) {
        base::refusal refused = decision.refusal;
        refused.not_run = never_dispatched(*ref.work);
        ref.task->phase = task_phase::ended;
        finish_.refuse(*ref.work, refused);
    }
}

void dispatch_stage::carry_out(const policy::preemption& decision) {
    const task_ref ref = context_.table.find_task(decision.task);
    if (ref && ref.task->current && ref.work->spec.repeatable) {
        ref.task->current->restart_when_stopped = true;
        context_.trace(*ref.work, "preempt", decision.vm.str(), decision.reason);
        finish_.send_stop(*ref.task);
    }
}

void dispatch_stage::intent_durable(work_state& work, task_state& task) {
    if (!context_.may_start()) {
        retry_.not_run(work, task, "ownership_not_proven");
        return;
    }
    send_start(work, task);
}

void dispatch_stage::intent_failed(work_state& work, task_state& task, bool /*may_be_written*/) {
    // Nothing was dispatched, and this owner has that on record, whether or not the intent was
    // written.
    retry_.not_run(work, task, "store_unavailable");
    const bool nothing_ran = !work.spec.durable && never_dispatched(work);
    if (!nothing_ran || work.outcome) {
        return;  // accepted work waits for the store
    }
    const base::refusal refused{
        base::refusal_reason::store_unavailable, true, store_retry_delay,
        "the platform's store is unavailable, so this work, which may not be "
        "repeated, could not be recorded and was not started"};
    for (const auto& it : std::exchange(work.waiters, {})) {
        finish_.refuse_at_once(it, refused);
    }
    // A retry is accepted as new work.
    context_.table.remove(work.spec.job);
}

void dispatch_stage::send_start(work_state& work, task_state& task) {
    attempt& current = *task.current;
    vm_state* const vm = context_.vms.find(current.vm);
    if (vm == nullptr || vm->incarnation != current.incarnation) {
        if (task.phase != task_phase::starting) {
            // The VM was replaced between the decision and the start, so nothing was sent.
            retry_.not_run(work, task, "other_incarnation");
        }
        return;
    }
    current.sent = context_.now;
    current.expires_at = std::max(current.expires_at, context_.lease_expiry_after(*vm));
    task.phase = task_phase::starting;
    current.start_under_way = true;
    ++current.starts_sent;
    context_.timers.add(current.expires_at, lease_timer{current.id});
    context_.command(
        *vm,
        platform::start_command{current.incarnation, current.id, task.id, work.spec.team,
                                work.spec.kind, current.reserved, context_.lease_end(*vm),
                                work.spec.repeatable, work.spec.payload},
        context_.settings.command_timeout, {pending_command::kind::start, current.vm, current.id});
}

}  // namespace cranberrydock::cell
