// The stage that rebuilds earlier owners' work.
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
    for (auto& it : context_.book.works()) {
        settle(it.second);
    }
}

void recover_stage::replay(const accepted_record& record) {
    reopen(record.what.job);
    if (work_state* const found = context_.book.find(record.what.job); found != nullptr) {
        return;  // a retry was written down once more
    }
    work_state work;
    work.what = record.what;
    work.accepted = context_.now;
    for (std::size_t i = 0; i < record.what.task_count; ++i) {
        task_state task;
        task.id = name_task(record.what, i, context_.settings.epoch);
        task.phase = task_phase::held;
        work.tasks.push_back(std::move(task));
    }
    context_.book.add(std::move(work));
}

// Work that was refused without having run, and was taken in anew.
void recover_stage::reopen(const base::job_id& job) {
    const work_state* const found = context_.book.find(job);
    if (found != nullptr && may_be_taken_again(*found)) {
        context_.book.remove(job);
    }
}

void recover_stage::replay(const intent_record& record) {
    reopen(record.job);
    work_state* work = context_.book.find(record.job);
    if (work == nullptr) {
        // Not durable: its caller will come back for it.
        work_state stray;
        stray.what.job = record.job;
        stray.what.team = record.team;
        stray.what.digest = record.digest;
        stray.what.repeatable = false;
        stray.known = false;
        stray.accepted = context_.now;
        work = &context_.book.add(std::move(stray));
    }
    if (!context_.book.find_task(record.task)) {
        task_state fresh;
        fresh.id = record.task;
        context_.book.add_task(*work, std::move(fresh));
    }
    task_state& task = *context_.book.find_task(record.task).task;
    context_.earlier_attempts.insert(record.attempt);
    attempt sent;
    sent.id = record.attempt;
    sent.vm = record.vm;
    sent.incarnation = record.incarnation;
    sent.number = record.number;
    sent.lapse_at = context_.earlier_owners_lapse();
    work->dispatched = true;
    task.attempts = record.number;
    task.phase = task_phase::unresolved;
    context_.book.begin_attempt(task, std::move(sent));
}

void recover_stage::replay(const not_run_record& record) {
    const task_ref ref = context_.book.find_task(record.task);
    if (ref && ref.task->current && ref.task->current->id == record.attempt) {
        context_.book.end_attempt(*ref.task);
        ref.task->attempts = std::max(0, ref.task->attempts - 1);
        ref.task->phase = task_phase::held;
    }
}

void recover_stage::replay(const outcome_record& record) {
    work_state* work = context_.book.find(record.job);
    if (work == nullptr) {
        work_state ended;
        ended.what.job = record.job;
        ended.what.team = record.team;
        ended.accepted = context_.now;
        work = &context_.book.add(std::move(ended));
    }
    work->what.digest = record.digest;
    work->known = true;
    work->outcome = record.outcome;
    work->outcome_recorded = true;
    work->finished = context_.now;
}

void recover_stage::settle(work_state& work) {
    if (work.outcome) {
        for (auto& it : work.tasks) {
            context_.book.end_attempt(it);
            it.phase = task_phase::ended;
        }
        context_.due.add(context_.now + context_.settings.retention, forget_due{work.what.job});
        return;
    }
    for (auto& it : work.tasks) {
        if (it.phase != task_phase::unresolved) {
            continue;
        }
        context_.recovered_attempts.push_back(*it.current);
        context_.due.add(context_.now + context_.settings.unknown_wait, unresolved_due{it.id});
    }
    if (work.known) {
        expire_.hold(work.what.job);
    }
}

}  // namespace cranberrydock::cell
