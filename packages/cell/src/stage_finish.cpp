// The last stage: sets and reports outcomes.
#include "stage_finish.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace cranberrydock::cell {
namespace {

constexpr std::size_t max_vms_avoided = 8;

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
    const auto* as_refusal = outcome ? std::get_if<base::refusal>(&*outcome) : nullptr;
    return as_refusal != nullptr && as_refusal->reason == base::refusal_reason::outcome_unknown;
}

}  // namespace

bool needs_record(const base::work& spec) {
    return spec.durable || !spec.repeatable;
}

void finish_stage::complete_task(work_state& work, task_state& task, base::task_answer answer,
                                 const policy::task_completion& completion) {
    context_.trace(work, "answer", answer.vm.str(), "completed", completion.run_time);
    if (task.current) {
        work.to_acknowledge.push_back(*task.current);
    }
    release(task, completion);
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

void finish_stage::refuse(work_state& work, base::refusal refused) {
    for (auto& it : work.tasks) {
        stop_task(it);
    }
    context_.metrics.count("cranberrydock_refusals_total",
                           "reason=\"" + std::string(to_string(refused.reason)) + "\"");
    finish(work, std::move(refused));
}

void finish_stage::refuse_at_once(reply_id caller, const base::refusal& refused) {
    context_.metrics.count("cranberrydock_refusals_total",
                           "reason=\"" + std::string(to_string(refused.reason)) + "\"");
    context_.answer(caller, refused, {});
}

void finish_stage::finish(work_state& work, base::work_outcome outcome) {
    if (work.outcome && !is_unknown(work.outcome)) {
        return;
    }
    work.outcome = std::move(outcome);
    work.finished = context_.now;
    answer_waiters(work);
    context_.timers.add(context_.now + context_.settings.retention, retention_timer{work.spec.job});
    // Work that was never accepted and never ran needs no record.
    const bool nothing_happened = !work.spec.durable && may_be_readmitted(work);
    if (needs_record(work.spec) && !nothing_happened) {
        record_outcome(work);
        return;
    }
    outcome_durable(work);
}

void finish_stage::record_outcome(const work_state& work) {
    context_.record(outcome_record{work.spec.job, work.spec.team, work.spec.digest, *work.outcome},
                    {pending_record::kind::outcome, work.spec.job, {}, {}});
}

void finish_stage::answer_waiters(work_state& work) {
    if (!may_report_outcome(work)) {
        return;
    }
    for (const auto& it : work.waiters) {
        context_.answer(it, *work.outcome, work.trace);
    }
    work.waiters.clear();
}

void finish_stage::outcome_durable(work_state& work) {
    work.outcome_recorded = true;
    answer_waiters(work);
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

void finish_stage::release(task_state& task, const policy::task_completion& completion) {
    if (!task.current) {
        return;
    }
    if (vm_state* const vm = context_.vms.find(task.current->vm); vm != nullptr) {
        remove_attempt(*vm, task.current->id);
    }
    if (task.current->counted) {
        context_.scheduler.record_completion(completion, context_.now);
    }
    const bool bad = completion.kind == policy::completion_kind::failed ||
                     completion.kind == policy::completion_kind::lost;
    if (bad && task.avoid.size() < max_vms_avoided) {
        task.avoid.push_back(task.current->vm);
    }
    context_.table.end_attempt(task);
}

void finish_stage::stop_task(task_state& task) {
    switch (task.phase) {
        case task_phase::queued:
            context_.scheduler.cancel(task.id);
            task.phase = task_phase::ended;
            return;
        case task_phase::recording_intent:
            // The start has not been sent and will not be: when the intent is confirmed, the task
            // has ended.
            release(task, {task.id, policy::completion_kind::stopped, {}, {}});
            task.phase = task_phase::ended;
            return;
        case task_phase::starting:
        case task_phase::running:
            send_stop(task);
            return;
        case task_phase::unresolved:
            // The attempt stays on record, so that the VM can still report its outcome once it
            // responds.
            return;
        default:
            task.phase = task_phase::ended;
            return;
    }
}

void finish_stage::send_stop(const task_state& task) {
    const vm_state* const vm = context_.vms.find(task.current->vm);
    if (vm == nullptr || !vm->reported) {
        return;
    }
    context_.command(*vm, platform::stop_command{task.current->incarnation, task.current->id},
                     context_.settings.command_timeout,
                     {pending_command::kind::stop, task.current->vm, task.current->id});
}

}  // namespace cranberrydock::cell
