// The stage that hands tasks to the scheduler.
#include "stage_queue.hpp"

#include <algorithm>

namespace cranberrydock::cell {
namespace {

// Whether the scheduler's refusal may be gone at the next try.
bool may_pass(base::refusal_reason reason) {
    return reason == base::refusal_reason::queue_full || reason == base::refusal_reason::overloaded;
}

// Tasks that wait outside of the scheduler, or in it.
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

// Work that may not be repeated can't be stopped to start again: once a task of it has run, the
// others follow one by one.
bool runs_together(const work_state& work) {
    return work.what.gang && (work.what.repeatable || !work.dispatched);
}

policy::task queue_stage::describe(const work_state& work, const task_state& task) const {
    policy::task out;
    out.id = task.id;
    out.job = work.what.job;
    out.team = work.what.team;
    out.queue = work.what.queue;
    out.kind = work.what.kind;
    out.need = work.what.need;
    out.repeatable = work.what.repeatable;
    out.gang_size = runs_together(work) ? waiting_tasks(work) : 1;
    out.accepted = work.accepted;
    if (work.what.deadline) {
        out.deadline = work.accepted + *work.what.deadline;
    }
    if (work.what.expected_time) {
        out.expected_time = *work.what.expected_time;
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
        const auto taken = context_.scheduler.enqueue(describe(work, it), context_.now);
        if (!taken) {
            base::refusal why = taken.error();
            why.not_run = never_dispatched(work);
            finish_.refuse(work, why);
            return;
        }
        it.phase = task_phase::queued;
        it.queued = context_.now;
    }
    context_.trace(work, "queue", context_.settings.cell.str(), "queued");
}

void queue_stage::enqueue_again(work_state& work, task_state& task) {
    if (!runs_together(work)) {
        enqueue_one_again(work, task);
        return;
    }
    if (any_runs(work)) {
        // The others are being stopped.
        wait(task, context_.settings.contact_backoff);
        return;
    }
    for (auto& it : work.tasks) {
        if (waits(it) && it.phase != task_phase::queued) {
            enqueue_one_again(work, it);
        }
    }
}

void queue_stage::wait(task_state& task, base::duration pause) {
    task.phase = task_phase::backing_off;
    task.retry_at = context_.now + pause;
    context_.due.add(task.retry_at, retry_due{task.id});
}

void queue_stage::enqueue_one_again(work_state& work, task_state& task) {
    const auto taken = context_.scheduler.enqueue(describe(work, task), context_.now);
    if (taken) {
        task.phase = task_phase::queued;
        task.queued = context_.now;
        return;
    }
    if (may_pass(taken.error().reason)) {
        wait(task, context_.settings.longest_backoff);
        return;
    }
    base::refusal why = taken.error();
    why.not_run = never_dispatched(work);
    finish_.refuse(work, why);
}

}  // namespace cranberrydock::cell
