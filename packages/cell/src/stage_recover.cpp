// The stage that rebuilds the work of previous owners.
#include "stage_recover.hpp"

#include "stage_finish.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::cell {

void recover_stage::recover(const std::vector<work_record>& records) {
    for (const auto& it : records) {
        std::visit([this](const auto& record) { replay(record); }, it);
    }
    for (auto& it : context_.table.works()) {
        settle(it.second);
    }
}

void recover_stage::replay(const accepted_record& record) {
    reopen(record.spec.job);
    if (work_state* const found = context_.table.find(record.spec.job); found != nullptr) {
        return;  // a retry was recorded again
    }
    work_state work;
    work.spec = record.spec;
    work.accepted = context_.now;
    for (std::size_t i = 0; i < record.spec.task_count; ++i) {
        task_state task;
        task.id = name_task(record.spec, i, context_.settings.epoch);
        task.phase = task_phase::held;
        work.tasks.push_back(std::move(task));
    }
    context_.table.add(std::move(work));
}

// Removes work that was refused without having run and was then accepted again.
void recover_stage::reopen(const base::job_id& job) {
    const work_state* const found = context_.table.find(job);
    if (found != nullptr && may_be_readmitted(*found)) {
        context_.table.remove(job);
    }
}

void recover_stage::replay(const intent_record& record) {
    reopen(record.job);
    work_state* work = context_.table.find(record.job);
    if (work == nullptr) {
        // The work is not durable: its caller will send it again.
        work_state orphan;
        orphan.spec.job = record.job;
        orphan.spec.team = record.team;
        orphan.spec.digest = record.digest;
        orphan.spec.repeatable = false;
        orphan.known = false;
        orphan.accepted = context_.now;
        work = &context_.table.add(std::move(orphan));
    }
    if (!context_.table.find_task(record.task)) {
        task_state fresh;
        fresh.id = record.task;
        context_.table.add_task(*work, std::move(fresh));
    }
    task_state& task = *context_.table.find_task(record.task).task;
    context_.inherited_attempts.insert(record.attempt);
    attempt previous;
    previous.id = record.attempt;
    previous.vm = record.vm;
    previous.incarnation = record.incarnation;
    previous.number = record.number;
    previous.expires_at = context_.previous_owners_lease_expiry();
    work->dispatched = true;
    task.attempts = record.number;
    task.phase = task_phase::unresolved;
    context_.table.begin_attempt(task, std::move(previous));
}

void recover_stage::replay(const not_run_record& record) {
    const task_ref ref = context_.table.find_task(record.task);
    if (ref && ref.task->current && ref.task->current->id == record.attempt) {
        context_.table.end_attempt(*ref.task);
        ref.task->attempts = std::max(0, ref.task->attempts - 1);
        ref.task->phase = task_phase::held;
    }
}

void recover_stage::replay(const outcome_record& record) {
    work_state* work = context_.table.find(record.job);
    if (work == nullptr) {
        work_state ended;
        ended.spec.job = record.job;
        ended.spec.team = record.team;
        ended.accepted = context_.now;
        work = &context_.table.add(std::move(ended));
    }
    work->spec.digest = record.digest;
    work->known = true;
    work->outcome = record.outcome;
    work->outcome_recorded = true;
    work->finished = context_.now;
}

void recover_stage::settle(work_state& work) {
    if (work.outcome) {
        for (auto& it : work.tasks) {
            context_.table.end_attempt(it);
            it.phase = task_phase::ended;
        }
        context_.timers.add(context_.now + context_.settings.retention,
                            retention_timer{work.spec.job});
        return;
    }
    for (auto& it : work.tasks) {
        if (it.phase != task_phase::unresolved) {
            continue;
        }
        context_.recovered_attempts.push_back(*it.current);
        context_.timers.add(context_.now + context_.settings.unknown_wait, unresolved_timer{it.id});
    }
    if (work.known) {
        expire_.hold(work.spec.job);
    }
}

}  // namespace cranberrydock::cell
