// The first stage of an owner: deduplication and acceptance.
#include "stage_admit.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::cell {
namespace {

constexpr base::milliseconds retry_soon{500};

base::refusal shutting_down() {
    return {base::refusal_reason::shutting_down, true, retry_soon,
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
    if (work_state* const found = context_.book.find(event.what.job); found != nullptr) {
        join(*found, event);
        return;
    }
    if (context_.draining) {
        finish_.refuse_at_once(event.reply_to, shutting_down());
        return;
    }
    context_.budget_of(event.what.team).note_request();
    work_state fresh;
    fresh.what = event.what;
    fresh.accepted = context_.now;
    fresh.waiters.push_back(event.reply_to);
    start(context_.book.add(std::move(fresh)));
}

void admit_stage::join(work_state& work, const submit& event) {
    if (may_be_told(work) && may_be_taken_again(work)) {
        // A queue that was full then may have room now.
        context_.book.remove(event.what.job);
        admit(event);
        return;
    }
    const bool other_body = !work.what.digest.empty() && work.what.digest != event.what.digest;
    if (other_body) {
        finish_.refuse_at_once(event.reply_to, key_reused());
        return;
    }
    context_.metrics.count("cranberrydock_retries_joined_total", "");
    if (may_be_told(work)) {
        context_.answer(event.reply_to, *work.outcome, work.trace);
        return;
    }
    if (context_.draining) {
        finish_.refuse_at_once(event.reply_to, shutting_down());
        return;
    }
    work.waiters.push_back(event.reply_to);
    if (!work.known) {
        learn(work, event.what);
        return;
    }
    const bool accepted_before =
        work.what.durable && work.tasks.front().phase != task_phase::recording;
    if (accepted_before) {
        accepted_durable(work);
    }
}

// The caller of work that an earlier owner had started is back: its missing tasks are queued, those
// that run or have ended on VMs are kept.
void admit_stage::learn(work_state& work, const base::work& what) {
    work.what = what;
    work.known = true;
    work.accepted = context_.now;
    start(work);
}

void admit_stage::start(work_state& work) {
    context_.trace(work, "admit", context_.settings.owner.str(), "taken in");
    const bool had_tasks = !work.tasks.empty();
    for (std::size_t i = 0; i < work.what.task_count; ++i) {
        task_state task;
        task.id = name_task(work.what, i, context_.settings.epoch);
        if (context_.book.same_index(work, task.id) != nullptr) {
            continue;
        }
        context_.book.add_task(work, std::move(task));
    }
    if (work.what.durable) {
        context_.record(accepted_record{work.what},
                        {pending_record::kind::accepted, work.what.job, {}, {}});
        return;
    }
    if (had_tasks && all_answered(work)) {
        task_state& last = work.tasks.back();
        finish_.complete_task(work, last, *last.answer,
                              {last.id, policy::end_kind::completed, {}, {}});
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
        return;  // refused by the queue: told once that is written down
    }
    for (const auto& it : work.waiters) {
        context_.answer(it, base::work_accepted{}, work.trace);
    }
    work.waiters.clear();
}

void admit_stage::accepted_failed(work_state& work, bool may_be_written) {
    base::refusal why;
    why.reason = may_be_written ? base::refusal_reason::outcome_unknown
                                : base::refusal_reason::store_unavailable;
    why.not_run = !may_be_written;
    why.retry_after = retry_soon;
    why.detail = may_be_written
                     ? "the store's answer to writing this job down was lost; ask for the job, or "
                       "send it again with the same Idempotency-Key"
                     : "the platform's store is unavailable, so this job could not be written down "
                       "and was not taken";
    for (const auto& it : work.waiters) {
        finish_.refuse_at_once(it, why);
    }
    // Nothing was queued. A retry takes it in anew.
    context_.book.remove(work.what.job);
}

}  // namespace cranberrydock::cell
