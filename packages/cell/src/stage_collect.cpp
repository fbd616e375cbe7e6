// The stage that reads what VMs say.
#include "stage_collect.hpp"

#include <cranberrydock/base/digest.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cranberrydock::cell {
namespace {

constexpr const char* digest_mismatch = "the answer did not match its digest";

bool mentions(const platform::vm_report& report, const base::attempt_id& id) {
    const auto same = [&](const auto& it) { return it.attempt == id; };
    return std::any_of(report.running.begin(), report.running.end(), same) ||
           std::any_of(report.finished.begin(), report.finished.end(), same);
}

policy::end_kind end_of(platform::task_end end) {
    switch (end) {
        case platform::task_end::completed:
            return policy::end_kind::completed;
        case platform::task_end::failed:
            return policy::end_kind::failed;
        case platform::task_end::stopped:
            return policy::end_kind::stopped;
        case platform::task_end::lease_lapsed:
        case platform::task_end::unknown:
            return policy::end_kind::lost;
        case platform::task_end::not_started:
            return policy::end_kind::stopped;
    }
    return policy::end_kind::lost;
}

}  // namespace

void collect_stage::collect(const vm_answered& event) {
    const auto found = context_.commands.find(event.command);
    if (found == context_.commands.end()) {
        return;
    }
    const pending_command pending = found->second;
    context_.commands.erase(found);
    vm_state* const vm = context_.vms.find(pending.vm);
    if (vm == nullptr) {
        return;
    }
    if (pending.what == pending_command::kind::contact) {
        vm->contact.reset();
    }
    if (pending.what == pending_command::kind::start) {
        if (const task_ref ref = context_.book.find_attempt(pending.attempt)) {
            ref.task->current->start_under_way = false;
        }
    }
    if (!event.result) {
        on_error(*vm, pending, event.result.error());
        return;
    }
    if (event.result->verdict == platform::vm_verdict::lower_epoch) {
        context_.replaced = true;
        context_.out.emplace_back(superseded{event.result->report.epoch});
        return;
    }
    on_verdict(pending, event.result->verdict);
    absorb(*vm, event.result->report, pending.sent);
}

void collect_stage::on_error(vm_state& vm, const pending_command& pending,
                             platform::vm_error error) {
    if (pending.what == pending_command::kind::contact) {
        vm.silent = true;
        vm.next_contact = context_.now + context_.settings.contact_backoff;
        context_.metrics.count("cranberrydock_vm_contacts_lost_total", "");
        context_.publish(vm);
        return;
    }
    if (pending.what != pending_command::kind::start || error != platform::vm_error::not_sent) {
        // A lost answer leaves the attempt as it is: the VM's next report decides.
        return;
    }
    const task_ref ref = context_.book.find_attempt(pending.attempt);
    if (ref && ref.task->phase == task_phase::starting && ref.task->current->starts_sent == 1) {
        retry_.not_run(*ref.work, *ref.task, "vm_unreachable");
    }
}

void collect_stage::on_verdict(const pending_command& pending, platform::vm_verdict verdict) {
    const task_ref ref = context_.book.find_attempt(pending.attempt);
    const bool is_start = pending.what == pending_command::kind::start;
    if (!ref || !is_start || ref.task->phase != task_phase::starting) {
        return;
    }
    if (verdict == platform::vm_verdict::done) {
        ref.task->phase = task_phase::running;
        ref.task->current->confirmed = true;
        context_.trace(*ref.work, "start", pending.vm.str(), "confirmed",
                       context_.now - ref.task->current->sent);
        return;
    }
    // A start that was sent again proves nothing about the first one, which may have run before or
    // may still come; unless its lease is over too.
    const bool proof =
        ref.task->current->starts_sent == 1 || verdict == platform::vm_verdict::lease_passed;
    if (proof) {
        retry_.not_run(*ref.work, *ref.task, platform::to_string(verdict));
    }
}

void collect_stage::absorb(vm_state& vm, const platform::vm_report& report,
                           base::time_point asked) {
    const bool first_report = !vm.heard;
    if (!take_over_report(vm, report)) {
        return;
    }
    for (const auto& it : context_.watch.see({vm.listed.id, report, asked, context_.now})) {
        context_.promise_broken(it.promise, it.evidence);
    }
    for (const auto& it : report.running) {
        see_running(vm, it, first_report);
    }
    for (const auto& it : report.finished) {
        see_finished(vm, it);
    }
    see_missing(vm, report);
    context_.publish(vm);
    if (first_report) {
        context_.publish_teams();
    }
}

// False when the report is older than one that is already known.
bool collect_stage::take_over_report(vm_state& vm, const platform::vm_report& report) {
    const bool same = vm.incarnation == report.incarnation;
    if (same && report.number <= vm.last_report) {
        return false;
    }
    if (!same) {
        vm.acknowledge.clear();
    }
    vm.incarnation = report.incarnation;
    vm.last_report = report.number;
    vm.vm_now = report.now;
    vm.received = context_.now;
    vm.capacity = report.capacity;
    vm.leaving = report.leaving;
    vm.silent = false;
    vm.heard = vm.heard || report.epoch == context_.settings.epoch;
    return vm.heard;
}

void collect_stage::see_running(vm_state& vm, const platform::running_task& seen,
                                bool first_report) {
    const task_ref ref = context_.book.find_attempt(seen.attempt);
    if (!ref) {
        check_origin(vm, seen.attempt, first_report);
        adopt(vm, seen);
        return;
    }
    task_state& task = *ref.task;
    const bool awaited = task.phase == task_phase::starting || task.phase == task_phase::unresolved;
    if (awaited) {
        task.phase = task_phase::running;
        task.current->confirmed = true;
        context_.due.add(task.current->lapse_at, lease_due{task.current->id});
    }
    count_in(vm, *ref.work, task, seen);
    context_.scheduler.report_usage(task.id, seen.used);
    if (ref.work->outcome) {
        finish_.send_stop(task);
    }
}

// A running attempt that this owner did not start: an earlier owner's, or nobody's.
void collect_stage::adopt(vm_state& vm, const platform::running_task& seen) {
    const task_ref ref = task_of_stray(seen.task, seen.team);
    if (!ref) {
        stop_stray(vm, seen.attempt);
        return;
    }
    if (ref.task->current) {
        context_.promise_broken(to_string(promise::task_in_two_places),
                                "task " + seen.task.str() + " runs on " + vm.listed.id.str() +
                                    " as " + seen.attempt.str() + " and on " +
                                    ref.task->current->vm.str() + " as " +
                                    ref.task->current->id.str());
        stop_stray(vm, seen.attempt);
        return;
    }
    if (ref.task->phase != task_phase::held) {
        // Its lease had lapsed by this owner's reckoning, or the work has ended: it must not go on.
        stop_stray(vm, seen.attempt);
        return;
    }
    attempt taken = attempt_on(vm, seen.attempt);
    taken.confirmed = true;
    ref.task->attempts = std::max(ref.task->attempts, 1);
    ref.task->phase = task_phase::running;
    context_.trace(*ref.work, "adopt", vm.listed.id.str(), "attempt " + seen.attempt.str());
    vm.attempts.push_back(seen.attempt);
    context_.due.add(taken.lapse_at, lease_due{seen.attempt});
    context_.due.add(context_.now + context_.settings.retention, forget_due{ref.work->what.job});
    context_.book.begin_attempt(*ref.task, std::move(taken));
    count_in(vm, *ref.work, *ref.task, seen);
}

// Makes the scheduler count what runs on the VM, unless it does already.
void collect_stage::count_in(const vm_state& vm, const work_state& work, task_state& task,
                             const platform::running_task& seen) {
    if (task.current->counted) {
        return;
    }
    policy::task description;
    description.id = seen.task;
    description.job = work.what.job;
    description.team = seen.team;
    description.queue = work.what.queue;
    description.kind = work.what.kind;
    description.need = seen.reserved;
    description.repeatable = work.what.repeatable;
    description.accepted = context_.now;
    context_.scheduler.adopt(description, vm.listed.id, seen.reserved);
    task.current->reserved = seen.reserved;
    task.current->counted = true;
}

attempt collect_stage::attempt_on(const vm_state& vm, const base::attempt_id& id) const {
    attempt out;
    out.id = id;
    out.vm = vm.listed.id;
    out.incarnation = vm.incarnation;
    out.placed = context_.now;
    out.sent = context_.now;
    out.lapse_at = context_.lapse_after(vm);
    return out;
}

// Where an earlier owner's task belongs here: to the task of that name, in the place of one that
// was queued anew for a retry, or to a work that is known only from it. Nothing when its work has
// gone on without it.
task_ref collect_stage::task_of_stray(const base::task_id& id, const base::team_id& team) {
    if (const task_ref known = context_.book.find_task(id)) {
        return known;
    }
    task_state fresh;
    fresh.id = id;
    fresh.phase = task_phase::held;
    work_state* work = context_.book.find(job_of(id));
    if (work == nullptr) {
        work_state stray;
        stray.what.job = job_of(id);
        stray.what.team = team;
        stray.known = false;
        stray.accepted = context_.now;
        work = &context_.book.add(std::move(stray));
    }
    task_state* const same = context_.book.same_index(*work, id);
    if (same == nullptr) {
        if (work->known) {
            return {};
        }
        context_.book.add_task(*work, std::move(fresh));
        return context_.book.find_task(id);
    }
    if (same->phase != task_phase::queued || work->outcome) {
        return {};
    }
    context_.scheduler.cancel(same->id);
    context_.book.replace_task(*same, std::move(fresh));
    return context_.book.find_task(id);
}

// After a VM's first report nothing can start there but what this owner starts.
void collect_stage::check_origin(const vm_state& vm, const base::attempt_id& id,
                                 bool first_report) {
    const auto origin = origin_of(id, context_.settings.cell);
    const bool earlier_epoch = origin && origin->epoch < context_.settings.epoch;
    if (earlier_epoch && first_report) {
        context_.earlier_attempts.insert(id);
    }
    const bool earlier = context_.earlier_attempts.count(id) > 0;
    const bool own = origin && origin->epoch == context_.settings.epoch &&
                     origin->number < context_.next_attempt;
    if (!earlier && !own) {
        context_.promise_broken(to_string(promise::started_by_nobody),
                                "attempt " + id.str() + " runs on " + vm.listed.id.str() +
                                    " and no owner of this cell started it");
    }
}

void collect_stage::see_finished(vm_state& vm, const platform::finished_task& seen) {
    const task_ref ref = context_.book.find_attempt(seen.attempt);
    if (!ref) {
        adopt_finished(vm, seen);
        return;
    }
    end_attempt(*ref.work, *ref.task, seen);
}

// An answer whose attempt is not known here: an earlier owner's, which a retry may come for, or one
// that was dealt with before.
void collect_stage::adopt_finished(vm_state& vm, const platform::finished_task& seen) {
    const task_ref known = context_.book.find_task(seen.task);
    const auto origin = origin_of(seen.attempt, context_.settings.cell);
    const bool earlier = origin && origin->epoch < context_.settings.epoch;
    const bool wanted = seen.end == platform::task_end::completed && earlier &&
                        (!known || known.task->phase == task_phase::held);
    const task_ref ref = wanted ? task_of_stray(seen.task, seen.team) : task_ref{};
    if (!ref) {
        // What ended work that may not be repeated is the only proof that it ran, until its outcome
        // is written down.
        const bool passed_over = known && known.work->what.repeatable && !known.task->answer;
        const bool settled = !known || known.work->outcome_recorded || passed_over;
        if (settled) {
            vm.acknowledge.push_back(seen.attempt);
        }
        return;
    }
    context_.due.add(context_.now + context_.settings.retention, forget_due{ref.work->what.job});
    ref.task->attempts = std::max(ref.task->attempts, 1);
    context_.book.begin_attempt(*ref.task, attempt_on(vm, seen.attempt));
    end_attempt(*ref.work, *ref.task, seen);
}

void collect_stage::end_attempt(work_state& work, task_state& task,
                                const platform::finished_task& seen) {
    const policy::task_ended how{task.id, end_of(seen.end), seen.peak_usage, seen.ran_for};
    const attempt ended = *task.current;
    if (seen.end == platform::task_end::completed) {
        if (base::sha256_hex(seen.answer) == seen.answer_digest) {
            finish_.complete_task(
                work, task, {task.id, ended.vm, seen.answer, seen.answer_digest, task.attempts},
                how);
            return;
        }
        context_.promise_broken(
            to_string(promise::answer_not_whole),
            "attempt " + ended.id.str() + " on " + ended.vm.str() + ": " + digest_mismatch);
    }
    work.to_acknowledge.push_back(ended);
    if (seen.end == platform::task_end::not_started && !work.outcome) {
        retry_.not_run(work, task, "upstream_refused");
        return;
    }
    if (ended.restart_when_stopped && seen.end == platform::task_end::stopped && !work.outcome) {
        retry_.stopped(work, task, how);
        return;
    }
    if (work.outcome) {
        finish_.release(task, how);
        task.phase = task_phase::ended;
        if (work.outcome_recorded) {
            finish_.outcome_durable(work);
        }
        return;
    }
    const bool completed = seen.end == platform::task_end::completed;
    const std::string reason = completed ? digest_mismatch
                               : seen.answer.empty()
                                   ? platform::to_string(seen.end)
                                   : platform::to_string(seen.end) + ": " + seen.answer;
    if (!work.what.repeatable) {
        task.attempt_reasons.push_back(ended.vm.str() + ": " + reason);
        finish_.release(task, how);
        task.phase = task_phase::ended;
        const auto why = seen.end == platform::task_end::unknown
                             ? base::refusal_reason::outcome_unknown
                             : base::refusal_reason::attempts_exhausted;
        finish_.refuse(work,
                       {why, false, base::milliseconds{0},
                        "the only attempt of work that may not be repeated ended: " + reason});
        return;
    }
    retry_.failed(work, task, how, reason);
}

// Attempts that should be there and are in neither list.
void collect_stage::see_missing(vm_state& vm, const platform::vm_report& report) {
    const std::vector<base::attempt_id> expected = vm.attempts;
    for (const auto& id : expected) {
        const task_ref ref = context_.book.find_attempt(id);
        if (!ref || mentions(report, id)) {
            continue;
        }
        task_state& task = *ref.task;
        if (task.current->incarnation != vm.incarnation) {
            tell_unknown(*ref.work, task);
            continue;  // its lapse decides about running it elsewhere
        }
        const auto origin = origin_of(id, context_.settings.cell);
        const bool fenced = origin && origin->epoch < context_.settings.epoch;
        const bool too_late = fenced || task.current->lapse_at <= context_.now;
        if (task.phase == task_phase::unresolved && too_late) {
            // The VM keeps ends until they are acknowledged, so it never had this attempt, and a
            // start that is still on its way is refused when it comes.
            retry_.not_run(*ref.work, task, "never_arrived");
            continue;
        }
        const bool start_lost =
            task.phase == task_phase::starting && !task.current->start_under_way;
        if (start_lost && context_.may_start()) {
            context_.metrics.count("cranberrydock_retries_total", "reason=\"start_answer_lost\"");
            dispatch_.send_start(*ref.work, task);
        }
    }
}

// The VM was replaced, and with it went what it knew of an attempt that may not be repeated.
void collect_stage::tell_unknown(work_state& work, const task_state& task) {
    if (task.phase != task_phase::unresolved || work.outcome) {
        return;
    }
    finish_.refuse(work, {base::refusal_reason::outcome_unknown, false, base::milliseconds{0},
                          task.current->vm.str() +
                              " was replaced after this was dispatched to it; it may or may not "
                              "have run and will not be run again"});
}

void collect_stage::stop_stray(const vm_state& vm, const base::attempt_id& id) {
    context_.command(vm, platform::stop_command{vm.incarnation, id},
                     context_.settings.command_timeout,
                     {pending_command::kind::stop, vm.listed.id, id});
}

}  // namespace cranberrydock::cell
