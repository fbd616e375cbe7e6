// From a decision to a running task.
#include "stage_dispatch.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::cell {
namespace {

constexpr base::milliseconds store_retry{500};

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
    const task_ref ref = context_.book.find_task(decision.task);
    vm_state* const vm = context_.vms.find(decision.vm);
    if (!ref || vm == nullptr || ref.task->phase != task_phase::queued) {
        // The scheduler counts it as running; nothing of it exists here.
        context_.scheduler.ended({decision.task, policy::end_kind::stopped, {}, {}}, context_.now);
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
    next.lapse_at = context_.lapse_after(*vm);
    next.counted = true;
    vm->attempts.push_back(next.id);
    context_.trace(*ref.work, "place", decision.vm.str(), "attempt " + next.id.str(),
                   context_.now - task.queued);
    context_.metrics.observe("cranberrydock_wait_seconds",
                             "queue=\"" + ref.work->what.queue.str() + "\"",
                             std::chrono::duration<double>(context_.now - task.queued).count());
    context_.metrics.count("cranberrydock_placements_total", "");
    context_.book.begin_attempt(task, std::move(next));
    if (ref.work->what.repeatable) {
        send_start(*ref.work, task);
        return;
    }
    task.phase = task_phase::recording_intent;
    const attempt& current = *task.current;
    context_.record(
        intent_record{ref.work->what.job, ref.work->what.team, ref.work->what.digest, task.id,
                      current.id, current.vm, current.incarnation, current.number},
        {pending_record::kind::intent, ref.work->what.job, task.id, current.id});
}

void dispatch_stage::carry_out(const policy::giving_up& decision) {
    if (const task_ref ref = context_.book.find_task(decision.task)) {
        base::refusal why = decision.why;
        why.not_run = never_dispatched(*ref.work);
        ref.task->phase = task_phase::ended;
        finish_.refuse(*ref.work, why);
    }
}

void dispatch_stage::carry_out(const policy::preemption& decision) {
    const task_ref ref = context_.book.find_task(decision.task);
    if (ref && ref.task->current && ref.work->what.repeatable) {
        ref.task->current->restart_when_stopped = true;
        context_.trace(*ref.work, "preempt", decision.vm.str(), decision.why);
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
    // Whether the intent stands or not, nothing was dispatched, and this owner knows that.
    retry_.not_run(work, task, "store_unavailable");
    const bool nothing_ran = !work.what.durable && never_dispatched(work);
    if (!nothing_ran || work.outcome) {
        return;  // accepted work waits for the store
    }
    const base::refusal why{base::refusal_reason::store_unavailable, true, store_retry,
                            "the platform's store is unavailable, so this work, which may not be "
                            "repeated, could not be written down and was not started"};
    for (const auto& it : std::exchange(work.waiters, {})) {
        finish_.refuse_at_once(it, why);
    }
    // A retry takes it in anew.
    context_.book.remove(work.what.job);
}

void dispatch_stage::send_start(work_state& work, task_state& task) {
    attempt& current = *task.current;
    vm_state* const vm = context_.vms.find(current.vm);
    if (vm == nullptr || vm->incarnation != current.incarnation) {
        if (task.phase != task_phase::starting) {
            // The VM was replaced between the decision and the start: nothing was sent.
            retry_.not_run(work, task, "other_incarnation");
        }
        return;
    }
    current.sent = context_.now;
    current.lapse_at = std::max(current.lapse_at, context_.lapse_after(*vm));
    task.phase = task_phase::starting;
    current.start_under_way = true;
    ++current.starts_sent;
    context_.due.add(current.lapse_at, lease_due{current.id});
    context_.command(
        *vm,
        platform::start_command{current.incarnation, current.id, task.id, work.what.team,
                                work.what.kind, current.reserved, context_.lease_end(*vm),
                                work.what.repeatable, work.what.payload},
        context_.settings.command_timeout, {pending_command::kind::start, current.vm, current.id});
}

}  // namespace cranberrydock::cell
