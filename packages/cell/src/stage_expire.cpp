// The stage for what falls due.
#include "stage_expire.hpp"

#include <algorithm>
#include <variant>

namespace cranberrydock::cell {

void expire_stage::expire() {
    while (const auto entry = context_.due.take(context_.now)) {
        std::visit([this](const auto& what) { due(what); }, *entry);
    }
    release_held();
}

void expire_stage::due(const lease_due& what) {
    const task_ref ref = context_.book.find_attempt(what.attempt);
    if (!ref) {
        return;
    }
    task_state& task = *ref.task;
    if (context_.now < task.current->lapse_at) {
        context_.due.add(task.current->lapse_at, what);
        return;
    }
    const bool may_run = task.phase == task_phase::starting || task.phase == task_phase::running;
    if (!may_run) {
        return;
    }
    context_.metrics.count("cranberrydock_leases_lapsed_total", "");
    const policy::task_ended how{task.id, policy::end_kind::lost, {}, {}};
    if (ref.work->what.repeatable) {
        retry_.failed(*ref.work, task, how, "lease lapsed on a silent VM");
        return;
    }
    // Only the VM can tell whether it ran. Its room is free, for the lease is over.
    if (task.current->counted) {
        task.current->counted = false;
        context_.scheduler.ended(how, context_.now);
    }
    task.phase = task_phase::unresolved;
    context_.due.add(context_.now + context_.settings.unknown_wait, unresolved_due{task.id});
}

void expire_stage::due(const retry_due& what) {
    if (const task_ref ref = context_.book.find_task(what.task)) {
        retry_.due(*ref.work, *ref.task);
    }
}

void expire_stage::due(const unresolved_due& what) {
    const task_ref ref = context_.book.find_task(what.task);
    if (!ref || ref.task->phase != task_phase::unresolved || ref.work->outcome) {
        return;
    }
    const std::string where = ref.task->current ? ref.task->current->vm.str() : "its VM";
    finish_.refuse(*ref.work,
                   {base::refusal_reason::outcome_unknown, false, base::milliseconds{0},
                    where + " fell silent after this was dispatched to it; it may or may not have "
                            "run and will not be run again"});
}

void expire_stage::due(const forget_due& what) {
    const work_state* const work = context_.book.find(what.job);
    if (work == nullptr || (work->known && !work->outcome)) {
        return;
    }
    const bool under_way = std::any_of(work->tasks.begin(), work->tasks.end(),
                                       [](const task_state& it) { return it.current.has_value(); });
    if (under_way || context_.now < work->finished + context_.settings.retention) {
        context_.due.add(context_.now + context_.settings.retention, what);
        return;
    }
    // Nobody came for a stray's answer: its VM may forget it too.
    finish_.outcome_durable(*context_.book.find(what.job));
    context_.book.remove(what.job);
}

void expire_stage::due(const outcome_due& what) {
    if (work_state* const work = context_.book.find(what.job); work != nullptr && work->outcome) {
        finish_.record_outcome(*work);
    }
}

void expire_stage::release_held() {
    if (held_.empty()) {
        return;
    }
    const auto& vms = context_.vms.all();
    const bool all_heard = !vms.empty() && std::all_of(vms.begin(), vms.end(), [](const auto& it) {
        return it.second.heard;
    });
    if (!all_heard && context_.now < context_.earlier_owners_lapse()) {
        return;
    }
    for (const auto& job : held_) {
        work_state* const work = context_.book.find(job);
        if (work == nullptr || work->outcome) {
            continue;
        }
        const bool partly_running =
            std::any_of(work->tasks.begin(), work->tasks.end(),
                        [](const task_state& it) { return it.current.has_value(); });
        if (!runs_together(*work) || !partly_running) {
            queue_.enqueue(*work);
            continue;
        }
        retry_.restart_gang(*work);
        for (auto& it : work->tasks) {
            if (it.phase == task_phase::held) {
                queue_.enqueue_again(*work, it);
            }
        }
    }
    held_.clear();
}

}  // namespace cranberrydock::cell
