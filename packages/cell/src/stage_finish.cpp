// The last stage: outcomes.
#include "stage_finish.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace cranberrydock::cell {
namespace {

constexpr std::size_t most_vms_avoided = 8;

void remove_attempt(vm_state& vm, const base::attempt_id& id) {
    auto& list = vm.attempts;
    list.erase(std::remove(list.begin(), list.end(), id), list.end());
}

bool all_ended(const work_state& work) {
    return std::all_of(work.tasks.begin(), work.tasks.end(), [](const task_state& it) {
        return it.phase == task_phase::ended && it.answer.has_value();
    });
}

bool is_unknown(const std::optional<base::work_outcome>& outcome) {
    const auto* refused = outcome ? std::get_if<base::refusal>(&*outcome) : nullptr;
    return refused != nullptr && refused->reason == base::refusal_reason::outcome_unknown;
}

}  // namespace

bool needs_record(const base::work& what) {
    return what.durable || !what.repeatable;
}

void finish_stage::complete_task(work_state& work, task_state& task, base::task_answer answer,
                                 const policy::task_ended& how) {
    context_.trace(work, "answer", answer.vm.str(), "completed", how.ran_for);
    if (task.current) {
        work.to_acknowledge.push_back(*task.current);
    }
    release(task, how);
    task.phase = task_phase::ended;
    task.answer = std::move(answer);
    if (!work.known || !all_ended(work)) {
        return;
    }
    base::work_answered outcome;
    for (const auto& it : work.tasks) {
        outcome.answers.push_back(*it.answer);
    }
    finish(work, std::move(outcome));
}

void finish_stage::refuse(work_state& work, base::refusal why) {
    for (auto& it : work.tasks) {
        stop_task(it);
    }
    context_.metrics.count("cranberrydock_refusals_total",
                           "reason=\"" + std::string(to_string(why.reason)) + "\"");
    finish(work, std::move(why));
}

void finish_stage::refuse_at_once(reply_id to, const base::refusal& why) {
    context_.metrics.count("cranberrydock_refusals_total",
                           "reason=\"" + std::string(to_string(why.reason)) + "\"");
    context_.answer(to, why, {});
}

void finish_stage::finish(work_state& work, base::work_outcome outcome) {
    if (work.outcome && !is_unknown(work.outcome)) {
        return;
    }
    work.outcome = std::move(outcome);
    work.finished = context_.now;
    tell(work);
    context_.due.add(context_.now + context_.settings.retention, forget_due{work.what.job});
    // What was never accepted and never ran leaves nothing to remember.
    const bool nothing_happened = !work.what.durable && may_be_taken_again(work);
    if (needs_record(work.what) && !nothing_happened) {
        record_outcome(work);
        return;
    }
    outcome_durable(work);
}

void finish_stage::record_outcome(const work_state& work) {
    context_.record(outcome_record{work.what.job, work.what.team, work.what.digest, *work.outcome},
                    {pending_record::kind::outcome, work.what.job, {}, {}});
}

void finish_stage::tell(work_state& work) {
    if (!may_be_told(work)) {
        return;
    }
    for (const auto& it : work.waiters) {
        context_.answer(it, *work.outcome, work.trace);
    }
    work.waiters.clear();
}

void finish_stage::outcome_durable(work_state& work) {
    work.outcome_recorded = true;
    tell(work);
    acknowledge(work);
}

void finish_stage::acknowledge(work_state& work) {
    for (const auto& it : work.to_acknowledge) {
        vm_state* const vm = context_.vms.find(it.vm);
        if (vm != nullptr && vm->incarnation == it.incarnation) {
            vm->acknowledge.push_back(it.id);
        }
    }
    work.to_acknowledge.clear();
}

void finish_stage::release(task_state& task, const policy::task_ended& how) {
    if (!task.current) {
        return;
    }
    if (vm_state* const vm = context_.vms.find(task.current->vm); vm != nullptr) {
        remove_attempt(*vm, task.current->id);
    }
    if (task.current->counted) {
        context_.scheduler.ended(how, context_.now);
    }
    const bool bad = how.end == policy::end_kind::failed || how.end == policy::end_kind::lost;
    if (bad && task.avoid.size() < most_vms_avoided) {
        task.avoid.push_back(task.current->vm);
    }
    context_.book.end_attempt(task);
}

void finish_stage::stop_task(task_state& task) {
    switch (task.phase) {
        case task_phase::queued:
            context_.scheduler.cancel(task.id);
            task.phase = task_phase::ended;
            return;
        case task_phase::recording_intent:
            // Not sent yet, and it will not be: the intent's arrival finds the task ended.
            release(task, {task.id, policy::end_kind::stopped, {}, {}});
            task.phase = task_phase::ended;
            return;
        case task_phase::starting:
        case task_phase::running:
            send_stop(task);
            return;
        case task_phase::unresolved:
            // Kept, so that a VM that is heard from again can still tell what became of it.
            return;
        default:
            task.phase = task_phase::ended;
            return;
    }
}

void finish_stage::send_stop(const task_state& task) {
    const vm_state* const vm = context_.vms.find(task.current->vm);
    if (vm == nullptr || !vm->heard) {
        return;
    }
    context_.command(*vm, platform::stop_command{task.current->incarnation, task.current->id},
                     context_.settings.command_timeout,
                     {pending_command::kind::stop, task.current->vm, task.current->id});
}

}  // namespace cranberrydock::cell
