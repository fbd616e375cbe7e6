// The stage that passes tasks to the scheduler.
#include "stage_queue.hpp"

#include <algorithm>

namespace cranberrydock::cell {
namespace {

// Whether the scheduler may accept the task at the next attempt.
bool may_be_transient(base::refusal_reason reason) {
    return reason == base::refusal_reason::queue_full || reason == base::refusal_reason::overloaded;
}

// Whether the task waits for an attempt, inside or outside of the scheduler.
bool waits(const task_state& task) {
    return !task.current && task.phase != task_phase::ended;
}

std::size_t waiting_tasks(const work_state& work) {
    return static_cast<std::size_t>(std::count_if(work.tasks.begin(), work.tasks.end(), waits));
}

bool any_runs(const work_state& work) {
    return std::any_of(work.tasks.begin(), work.tasks.end(),
                       [](const task_state& it) { return it.current.has_value(); });
}

}  // namespace

// Work that may not be repeated can't be stopped and started again. Once one of its tasks has run,
// the others follow one by one.
bool runs_together(const work_state& work) {
    return work.spec.gang && (work.spec.repeatable || !work.dispatched);
}

policy::task queue_stage::describe(const work_state& work, const task_state& task) const {
    policy::task out;
    out.id = task.id;
    out.job = work.spec.job;
    out.team = work.spec.team;
    out.queue = work.spec.queue;
    out.kind = work.spec.kind;
    out.need = work.spec.need;
    out.repeatable = work.spec.repeatable;
    out.gang_size = runs_together(work) ? waiting_tasks(work) : 1;
    out.accepted = work.accepted;
    if (work.spec.deadline) {
        out.deadline = work.accepted + *work.spec.deadline;
    }
    if (work.spec.expected_time) {
        out.expected_time = *work.spec.expected_time;
    }
    out.avoid = task.avoid;
    return out;
}

void queue_stage::enqueue(work_state& work) {
    for (auto& it : work.tasks) {
        const bool fresh = it.phase == task_phase::recording || it.phase == task_phase::held;
        if (!fresh || it.current) {
            continue;
        }
        const auto enqueued = context_.scheduler.enqueue(describe(work, it), context_.now);
        if (!enqueued) {
            base::refusal refused = enqueued.error();
            refused.not_run = never_dispatched(work);
            finish_.refuse(work, refused);
            return;
        }
        it.phase = task_phase::queued;
        it.queued = context_.now;
    }
    context_.trace(work, "queue", context_.settings.cell.str(), "queued");
}

void queue_stage::requeue(work_state& work, task_state& task) {
    if (!runs_together(work)) {
        requeue_task(work, task);
        return;
    }
    if (any_runs(work)) {
        // The other tasks are being stopped.
        wait(task, context_.settings.contact_backoff);
        return;
    }
    for (auto& it : work.tasks) {
        if (waits(it) && it.phase != task_phase::queued) {
            requeue_task(work, it);
        }
    }
}

void queue_stage::wait(task_state& task, base::duration pause) {
    task.phase = task_phase::backing_off;
    task.retry_at = context_.now + pause;
    context_.timers.add(task.retry_at, retry_timer{task.id});
}

void queue_stage::requeue_task(work_state& work, task_state& task) {
    const auto enqueued = context_.scheduler.enqueue(describe(work, task), context_.now);
    if (enqueued) {
        task.phase = task_phase::queued;
        task.queued = context_.now;
        return;
    }
    if (may_be_transient(enqueued.error().reason)) {
        wait(task, context_.settings.max_backoff);
        return;
    }
    base::refusal refused = enqueued.error();
    refused.not_run = never_dispatched(work);
    finish_.refuse(work, refused);
}

}  // namespace cranberrydock::cell
