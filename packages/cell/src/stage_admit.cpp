// The first stage: deduplication and acceptance.
#include "stage_admit.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::cell {
namespace {

constexpr base::milliseconds retry_delay{500};

base::refusal shutting_down() {
    return {base::refusal_reason::shutting_down, true, retry_delay,
            "this owner is handing the cell over; the same request may be sent again"};
}

base::refusal key_reused() {
    return {base::refusal_reason::idempotency_key_reused, true, base::milliseconds{0},
            "expected the same body as the first request with this Idempotency-Key, found another; "
            "use a new key for new work"};
}

bool all_answered(const work_state& work) {
    return std::all_of(work.tasks.begin(), work.tasks.end(),
                       [](const task_state& it) { return it.answer.has_value(); });
}

}  // namespace

void admit_stage::admit(const submit& event) {
    if (work_state* const found = context_.table.find(event.work.job); found != nullptr) {
        join(*found, event);
        return;
    }
    if (context_.draining) {
        finish_.refuse_at_once(event.reply_to, shutting_down());
        return;
    }
    context_.budget_of(event.work.team).record_request();
    work_state fresh;
    fresh.spec = event.work;
    fresh.accepted = context_.now;
    fresh.waiters.push_back(event.reply_to);
    start(context_.table.add(std::move(fresh)));
}

void admit_stage::join(work_state& work, const submit& event) {
    if (may_report_outcome(work) && may_be_readmitted(work)) {
        // A queue that was full at that time may have room now.
        context_.table.remove(event.work.job);
        admit(event);
        return;
    }
    const bool body_differs = !work.spec.digest.empty() && work.spec.digest != event.work.digest;
    if (body_differs) {
        finish_.refuse_at_once(event.reply_to, key_reused());
        return;
    }
    context_.metrics.count("cranberrydock_retries_joined_total", "");
    if (may_report_outcome(work)) {
        context_.answer(event.reply_to, *work.outcome, work.trace);
        return;
    }
    if (context_.draining) {
        finish_.refuse_at_once(event.reply_to, shutting_down());
        return;
    }
    work.waiters.push_back(event.reply_to);
    if (!work.known) {
        attach_request(work, event.work);
        return;
    }
    const bool accepted_before =
        work.spec.durable && work.tasks.front().phase != task_phase::recording;
    if (accepted_before) {
        accepted_durable(work);
    }
}

// The caller of work that a previous owner started has sent it again. Queues its missing tasks and
// keeps those that run or have ended on VMs.
void admit_stage::attach_request(work_state& work, const base::work& spec) {
    work.spec = spec;
    work.known = true;
    work.accepted = context_.now;
    start(work);
}

void admit_stage::start(work_state& work) {
    context_.trace(work, "admit", context_.settings.owner.str(), "accepted");
    const bool had_tasks = !work.tasks.empty();
    for (std::size_t i = 0; i < work.spec.task_count; ++i) {
        task_state task;
        task.id = name_task(work.spec, i, context_.settings.epoch);
        if (context_.table.same_index(work, task.id) != nullptr) {
            continue;
        }
        context_.table.add_task(work, std::move(task));
    }
    if (work.spec.durable) {
        context_.record(accepted_record{work.spec},
                        {pending_record::kind::accepted, work.spec.job, {}, {}});
        return;
    }
    if (had_tasks && all_answered(work)) {
        task_state& last = work.tasks.back();
        finish_.complete_task(work, last, *last.answer,
                              {last.id, policy::completion_kind::completed, {}, {}});
        return;
    }
    queue_.enqueue(work);
}

void admit_stage::accepted_durable(work_state& work) {
    const bool fresh = work.tasks.front().phase == task_phase::recording;
    if (fresh && !work.outcome) {
        queue_.enqueue(work);
    }
    if (work.outcome) {
        return;  // refused by the queue: answered once the refusal is in the journal
    }
    for (const auto& it : work.waiters) {
        context_.answer(it, base::work_accepted{}, work.trace);
    }
    work.waiters.clear();
}

void admit_stage::accepted_failed(work_state& work, bool may_be_written) {
    base::refusal refused;
    refused.reason = may_be_written ? base::refusal_reason::outcome_unknown
                                    : base::refusal_reason::store_unavailable;
    refused.not_run = !may_be_written;
    refused.retry_after = retry_delay;
    refused.detail =
        may_be_written ? "the store's answer to the write of this job was lost; query the job, or "
                         "send it again with the same Idempotency-Key"
                       : "the platform's store is unavailable, so this job could not be stored "
                         "and was not accepted";
    for (const auto& it : work.waiters) {
        finish_.refuse_at_once(it, refused);
    }
    // No task was queued. A retry is accepted as new work.
    context_.table.remove(work.spec.job);
}

}  // namespace cranberrydock::cell
