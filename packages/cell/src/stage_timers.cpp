// The stage that handles timers.
#include "stage_timers.hpp"

#include <algorithm>
#include <variant>

namespace cranberrydock::cell {

void expire_stage::expire() {
    while (const auto entry = context_.timers.take_expired(context_.now)) {
        std::visit([this](const auto& timer) { on_timer(timer); }, *entry);
    }
    release_held();
}

void expire_stage::on_timer(const lease_timer& timer) {
    const task_ref ref = context_.table.find_attempt(timer.attempt);
    if (!ref) {
        return;
    }
    task_state& task = *ref.task;
    if (context_.now < task.current->expires_at) {
        context_.timers.add(task.current->expires_at, timer);
        return;
    }
    const bool may_run = task.phase == task_phase::starting || task.phase == task_phase::running;
    if (!may_run) {
        return;
    }
    context_.metrics.count("cranberrydock_leases_lapsed_total", "");
    const policy::task_completion completion{task.id, policy::completion_kind::lost, {}, {}};
    if (ref.work->spec.repeatable) {
        retry_.failed(*ref.work, task, completion, "lease expired on an unresponsive VM");
        return;
    }
    // Only the VM can report whether the task ran. Its resources are free, because the lease has
    // expired.
    if (task.current->counted) {
        task.current->counted = false;
        context_.scheduler.record_completion(completion, context_.now);
    }
    task.phase = task_phase::unresolved;
    context_.timers.add(context_.now + context_.settings.unknown_wait, unresolved_timer{task.id});
}

void expire_stage::on_timer(const retry_timer& timer) {
    if (const task_ref ref = context_.table.find_task(timer.task)) {
        retry_.pause_ended(*ref.work, *ref.task);
    }
}

void expire_stage::on_timer(const unresolved_timer& timer) {
    const task_ref ref = context_.table.find_task(timer.task);
    if (!ref || ref.task->phase != task_phase::unresolved || ref.work->outcome) {
        return;
    }
    const std::string vm_name = ref.task->current ? ref.task->current->vm.str() : "its VM";
    finish_.refuse(*ref.work,
                   {base::refusal_reason::outcome_unknown, false, base::milliseconds{0},
                    vm_name + " became unresponsive after this task was dispatched to it; "
                              "the task may or may not have run and will not be run again"});
}

void expire_stage::on_timer(const retention_timer& timer) {
    const work_state* const work = context_.table.find(timer.job);
    if (work == nullptr || (work->known && !work->outcome)) {
        return;
    }
    const bool under_way = std::any_of(work->tasks.begin(), work->tasks.end(),
                                       [](const task_state& it) { return it.current.has_value(); });
    if (under_way || context_.now < work->finished + context_.settings.retention) {
        context_.timers.add(context_.now + context_.settings.retention, timer);
        return;
    }
    // No caller has asked for the answer of an orphaned attempt, so its VM may forget it too.
    finish_.outcome_durable(*context_.table.find(timer.job));
    context_.table.remove(timer.job);
}

void expire_stage::on_timer(const outcome_write_timer& timer) {
    if (work_state* const work = context_.table.find(timer.job); work != nullptr && work->outcome) {
        finish_.record_outcome(*work);
    }
}

void expire_stage::release_held() {
    if (held_.empty()) {
        return;
    }
    const auto& vms = context_.vms.all();
    const bool all_reported =
        !vms.empty() &&
        std::all_of(vms.begin(), vms.end(), [](const auto& it) { return it.second.reported; });
    if (!all_reported && context_.now < context_.previous_owners_lease_expiry()) {
        return;
    }
    for (const auto& job : held_) {
        work_state* const work = context_.table.find(job);
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
                queue_.requeue(*work, it);
            }
        }
    }
    held_.clear();
}

}  // namespace cranberrydock::cell
