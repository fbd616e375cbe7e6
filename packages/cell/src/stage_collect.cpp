// The stage that processes the answers of VMs.
#include "stage_collect.hpp"

#include <cranberrydock/base/digest.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cranberrydock::cell {
namespace {

constexpr const char* digest_mismatch = "the answer did not match its digest";

bool mentions(const platform::vm_report& report, const base::attempt_id& id) {
    const auto matches = [&](const auto& it) { return it.attempt == id; };
    return std::any_of(report.running.begin(), report.running.end(), matches) ||
           std::any_of(report.finished.begin(), report.finished.end(), matches);
}

policy::completion_kind end_of(platform::task_completion end) {
    switch (end) {
        case platform::task_completion::completed:
            return policy::completion_kind::completed;
        case platform::task_completion::failed:
            return policy::completion_kind::failed;
        case platform::task_completion::stopped:
            return policy::completion_kind::stopped;
        case platform::task_completion::lease_expired:
        case platform::task_completion::unknown:
            return policy::completion_kind::lost;
        case platform::task_completion::not_started:
            return policy::completion_kind::stopped;
    }
    return policy::completion_kind::lost;
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
    if (pending.type == pending_command::kind::contact) {
        vm->contact.reset();
    }
    if (pending.type == pending_command::kind::start) {
        if (const task_ref ref = context_.table.find_attempt(pending.attempt)) {
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
    process_report(*vm, event.result->report, pending.sent);
}

void collect_stage::on_error(vm_state& vm, const pending_command& pending,
                             platform::vm_error error) {
    if (pending.type == pending_command::kind::contact) {
        vm.unresponsive = true;
        vm.next_contact = context_.now + context_.settings.contact_backoff;
        context_.metrics.count("cranberrydock_vm_contacts_lost_total", "");
        context_.publish(vm);
        return;
    }
    if (pending.type != pending_command::kind::start || error != platform::vm_error::not_sent) {
        // A lost answer does not change the attempt: the VM's next report decides.
        return;
    }
    const task_ref ref = context_.table.find_attempt(pending.attempt);
    if (ref && ref.task->phase == task_phase::starting && ref.task->current->starts_sent == 1) {
        retry_.not_run(*ref.work, *ref.task, "vm_unreachable");
    }
}

void collect_stage::on_verdict(const pending_command& pending, platform::vm_verdict verdict) {
    const task_ref ref = context_.table.find_attempt(pending.attempt);
    const bool is_start = pending.type == pending_command::kind::start;
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
    // The refusal of a repeated start proves nothing about the first start, which may have run
    // already or may still arrive, unless its lease has expired too.
    const bool proof =
        ref.task->current->starts_sent == 1 || verdict == platform::vm_verdict::lease_passed;
    if (proof) {
        retry_.not_run(*ref.work, *ref.task, platform::to_string(verdict));
    }
}

void collect_stage::process_report(vm_state& vm, const platform::vm_report& report,
                                   base::time_point requested_at) {
    const bool first_report = !vm.reported;
    if (!accept_report(vm, report)) {
        return;
    }
    for (const auto& it :
         context_.promises.observe({vm.listed.id, report, requested_at, context_.now})) {
        context_.promise_broken(it.promise, it.evidence);
    }
    for (const auto& it : report.running) {
        handle_running(vm, it, first_report);
    }
    for (const auto& it : report.finished) {
        handle_finished(vm, it);
    }
    handle_missing(vm, report);
    context_.publish(vm);
    if (first_report) {
        context_.publish_teams();
    }
}

// Returns false when a newer report has already arrived.
bool collect_stage::accept_report(vm_state& vm, const platform::vm_report& report) {
    const bool same_incarnation = vm.incarnation == report.incarnation;
    if (same_incarnation && report.number <= vm.last_report) {
        return false;
    }
    if (!same_incarnation) {
        vm.acknowledge.clear();
    }
    vm.incarnation = report.incarnation;
    vm.last_report = report.number;
    vm.vm_now = report.now;
    vm.received = context_.now;
    vm.capacity = report.capacity;
    vm.leaving = report.leaving;
    vm.unresponsive = false;
    vm.reported = vm.reported || report.epoch == context_.settings.epoch;
    return vm.reported;
}

void collect_stage::handle_running(vm_state& vm, const platform::running_task& seen,
                                   bool first_report) {
    const task_ref ref = context_.table.find_attempt(seen.attempt);
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
        context_.timers.add(task.current->expires_at, lease_timer{task.current->id});
    }
    count_running(vm, *ref.work, task, seen);
    context_.scheduler.report_usage(task.id, seen.used);
    if (ref.work->outcome) {
        finish_.send_stop(task);
    }
}

// Handles a running attempt that is not on record here: one of a previous owner, or one that no
// owner started.
void collect_stage::adopt(vm_state& vm, const platform::running_task& seen) {
    const task_ref ref = task_of_orphan(seen.task, seen.team);
    if (!ref) {
        stop_orphan(vm, seen.attempt);
        return;
    }
    if (ref.task->current) {
        context_.promise_broken(to_string(promise::task_in_two_places),
                                "task " + seen.task.str() + " runs on " + vm.listed.id.str() +
                                    " as " + seen.attempt.str() + " and on " +
                                    ref.task->current->vm.str() + " as " +
                                    ref.task->current->id.str());
        stop_orphan(vm, seen.attempt);
        return;
    }
    if (ref.task->phase != task_phase::held) {
        // By this owner's record its lease has expired, or the work has ended: the task must not
        // continue.
        stop_orphan(vm, seen.attempt);
        return;
    }
    attempt adopted = attempt_on(vm, seen.attempt);
    adopted.confirmed = true;
    ref.task->attempts = std::max(ref.task->attempts, 1);
    ref.task->phase = task_phase::running;
    context_.trace(*ref.work, "adopt", vm.listed.id.str(), "attempt " + seen.attempt.str());
    vm.attempts.push_back(seen.attempt);
    context_.timers.add(adopted.expires_at, lease_timer{seen.attempt});
    context_.timers.add(context_.now + context_.settings.retention,
                        retention_timer{ref.work->spec.job});
    context_.table.begin_attempt(*ref.task, std::move(adopted));
    count_running(vm, *ref.work, *ref.task, seen);
}

// Makes the scheduler count a task that runs on the VM, unless it does so already.
void collect_stage::count_running(const vm_state& vm, const work_state& work, task_state& task,
                                  const platform::running_task& seen) {
    if (task.current->counted) {
        return;
    }
    policy::task description;
    description.id = seen.task;
    description.job = work.spec.job;
    description.team = seen.team;
    description.queue = work.spec.queue;
    description.kind = work.spec.kind;
    description.need = seen.reserved;
    description.repeatable = work.spec.repeatable;
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
    out.expires_at = context_.lease_expiry_after(vm);
    return out;
}

// Finds the task to which a previous owner's attempt belongs. This is the task of that name, or a
// task that replaces one queued anew for a retry, or a task of work that is known only from this
// attempt. Returns an empty reference when the work has proceeded without the attempt.
task_ref collect_stage::task_of_orphan(const base::task_id& id, const base::team_id& team) {
    if (const task_ref known = context_.table.find_task(id)) {
        return known;
    }
    task_state fresh;
    fresh.id = id;
    fresh.phase = task_phase::held;
    work_state* work = context_.table.find(job_of(id));
    if (work == nullptr) {
        work_state orphan;
        orphan.spec.job = job_of(id);
        orphan.spec.team = team;
        orphan.known = false;
        orphan.accepted = context_.now;
        work = &context_.table.add(std::move(orphan));
    }
    task_state* const counterpart = context_.table.same_index(*work, id);
    if (counterpart == nullptr) {
        if (work->known) {
            return {};
        }
        context_.table.add_task(*work, std::move(fresh));
        return context_.table.find_task(id);
    }
    if (counterpart->phase != task_phase::queued || work->outcome) {
        return {};
    }
    context_.scheduler.cancel(counterpart->id);
    context_.table.replace_task(*counterpart, std::move(fresh));
    return context_.table.find_task(id);
}

// After a VM's first report, only this owner can start tasks there.
void collect_stage::check_origin(const vm_state& vm, const base::attempt_id& id,
                                 bool first_report) {
    const auto origin = origin_of(id, context_.settings.cell);
    const bool previous_epoch = origin && origin->epoch < context_.settings.epoch;
    if (previous_epoch && first_report) {
        context_.inherited_attempts.insert(id);
    }
    const bool earlier = context_.inherited_attempts.count(id) > 0;
    const bool own = origin && origin->epoch == context_.settings.epoch &&
                     origin->number < context_.next_attempt;
    if (!earlier && !own) {
        context_.promise_broken(to_string(promise::started_by_nobody),
                                "attempt " + id.str() + " runs on " + vm.listed.id.str() +
                                    " and no owner of this cell started it");
    }
}

void collect_stage::handle_finished(vm_state& vm, const platform::finished_task& seen) {
    const task_ref ref = context_.table.find_attempt(seen.attempt);
    if (!ref) {
        adopt_finished(vm, seen);
        return;
    }
    end_attempt(*ref.work, *ref.task, seen);
}

// Handles the end of an attempt that is not on record here: one of a previous owner, whose answer a
// retry may ask for, or one that was processed before.
void collect_stage::adopt_finished(vm_state& vm, const platform::finished_task& seen) {
    const task_ref known = context_.table.find_task(seen.task);
    const auto origin = origin_of(seen.attempt, context_.settings.cell);
    const bool earlier = origin && origin->epoch < context_.settings.epoch;
    const bool wanted = seen.completion == platform::task_completion::completed && earlier &&
                        (!known || known.task->phase == task_phase::held);
    const task_ref ref = wanted ? task_of_orphan(seen.task, seen.team) : task_ref{};
    if (!ref) {
        // For work that may not be repeated, this answer is the only proof that it ran until the
        // outcome is in the journal.
        const bool passed_over = known && known.work->spec.repeatable && !known.task->answer;
        const bool settled = !known || known.work->outcome_recorded || passed_over;
        if (settled) {
            vm.acknowledge.push_back(seen.attempt);
        }
        return;
    }
    context_.timers.add(context_.now + context_.settings.retention,
                        retention_timer{ref.work->spec.job});
    ref.task->attempts = std::max(ref.task->attempts, 1);
    context_.table.begin_attempt(*ref.task, attempt_on(vm, seen.attempt));
    end_attempt(*ref.work, *ref.task, seen);
}

void collect_stage::end_attempt(work_state& work, task_state& task,
                                const platform::finished_task& seen) {
    const policy::task_completion completion{task.id, end_of(seen.completion), seen.peak_usage,
                                             seen.ran_for};
    const attempt ended = *task.current;
    if (seen.completion == platform::task_completion::completed) {
        if (base::sha256_hex(seen.answer) == seen.answer_digest) {
            finish_.complete_task(
                work, task, {task.id, ended.vm, seen.answer, seen.answer_digest, task.attempts},
                completion);
            return;
        }
        context_.promise_broken(
            to_string(promise::answer_not_whole),
            "attempt " + ended.id.str() + " on " + ended.vm.str() + ": " + digest_mismatch);
    }
    work.to_acknowledge.push_back(ended);
    if (seen.completion == platform::task_completion::not_started && !work.outcome) {
        retry_.not_run(work, task, "upstream_refused");
        return;
    }
    if (ended.restart_when_stopped && seen.completion == platform::task_completion::stopped &&
        !work.outcome) {
        retry_.stopped(work, task, completion);
        return;
    }
    if (work.outcome) {
        finish_.release(task, completion);
        task.phase = task_phase::ended;
        if (work.outcome_recorded) {
            finish_.outcome_durable(work);
        }
        return;
    }
    const bool completed = seen.completion == platform::task_completion::completed;
    const std::string reason = completed ? digest_mismatch
                               : seen.answer.empty()
                                   ? platform::to_string(seen.completion)
                                   : platform::to_string(seen.completion) + ": " + seen.answer;
    if (!work.spec.repeatable) {
        task.attempt_reasons.push_back(ended.vm.str() + ": " + reason);
        finish_.release(task, completion);
        task.phase = task_phase::ended;
        const auto outcome_reason = seen.completion == platform::task_completion::unknown
                                        ? base::refusal_reason::outcome_unknown
                                        : base::refusal_reason::attempts_exhausted;
        finish_.refuse(work,
                       {outcome_reason, false, base::milliseconds{0},
                        "the only attempt of work that may not be repeated ended: " + reason});
        return;
    }
    retry_.failed(work, task, completion, reason);
}

// Handles attempts that are expected on the VM but appear in neither list of its report.
void collect_stage::handle_missing(vm_state& vm, const platform::vm_report& report) {
    const std::vector<base::attempt_id> expected = vm.attempts;
    for (const auto& id : expected) {
        const task_ref ref = context_.table.find_attempt(id);
        if (!ref || mentions(report, id)) {
            continue;
        }
        task_state& task = *ref.task;
        if (task.current->incarnation != vm.incarnation) {
            refuse_as_unknown(*ref.work, task);
            continue;  // the expiry of its lease decides whether it may run elsewhere
        }
        const auto origin = origin_of(id, context_.settings.cell);
        const bool fenced = origin && origin->epoch < context_.settings.epoch;
        const bool too_late = fenced || task.current->expires_at <= context_.now;
        if (task.phase == task_phase::unresolved && too_late) {
            // The VM keeps ended attempts until they are acknowledged, so it never received this
            // one. A start that is still on its way is refused on arrival.
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

// The VM was replaced, and its record of an attempt that may not be repeated is lost.
void collect_stage::refuse_as_unknown(work_state& work, const task_state& task) {
    if (task.phase != task_phase::unresolved || work.outcome) {
        return;
    }
    finish_.refuse(
        work, {base::refusal_reason::outcome_unknown, false, base::milliseconds{0},
               task.current->vm.str() +
                   " was replaced after this task was dispatched to it; the task may or may not "
                   "have run and will not be run again"});
}

void collect_stage::stop_orphan(const vm_state& vm, const base::attempt_id& id) {
    context_.command(vm, platform::stop_command{vm.incarnation, id},
                     context_.settings.command_timeout,
                     {pending_command::kind::stop, vm.listed.id, id});
}

}  // namespace cranberrydock::cell
