// The stage that hands tasks to the scheduler.
#include "stage_queue.hpp"

#include <algorithm>

namespace cranberrydock::cell {
namespace {

// Whether the scheduler's refusal may be gone at the next try.
bool may_pass(base::refusal_reason reason) {
    return reason == base::refusal_reason::queue_full || reason == base::refusal_reason::overloaded;
}

std::size_t unfinished_tasks(const work_state& work) {
    return static_cast<std::size_t>(
        std::count_if(work.tasks.begin(), work.tasks.end(),
                      [](const task_state& it) { return it.phase != task_phase::ended; }));
}

}  // namespace

policy::task queue_stage::describe(const work_state& work, const task_state& task) const {
    policy::task out;
    out.id = task.id;
    out.job = work.what.job;
    out.team = work.what.team;
    out.queue = work.what.queue;
    out.kind = work.what.kind;
    out.need = work.what.need;
    out.repeatable = work.what.repeatable;
    out.gang_size = work.what.gang ? unfinished_tasks(work) : 1;
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
        const bool waits = it.phase == task_phase::recording || it.phase == task_phase::held;
        if (!waits || it.current) {
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
    const auto taken = context_.scheduler.enqueue(describe(work, task), context_.now);
    if (taken) {
        task.phase = task_phase::queued;
        task.queued = context_.now;
        return;
    }
    if (may_pass(taken.error().reason)) {
        task.phase = task_phase::backing_off;
        task.retry_at = context_.now + context_.settings.longest_backoff;
        context_.due.add(task.retry_at, retry_due{task.id});
        return;
    }
    base::refusal why = taken.error();
    why.not_run = never_dispatched(work);
    finish_.refuse(work, why);
}

}  // namespace cranberrydock::cell
