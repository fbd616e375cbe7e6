// VMs: tracks the runs on each VM from its reports and from the answers to commands.
#include "scheduler_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::placed_run;
using detail::run_phase;
using detail::step_state;
using detail::vm_record;

namespace {

constexpr milliseconds stop_retry_pause{200};  // before a failed stop command is repeated
constexpr milliseconds no_room_pause{500};     // for a VM that has less free capacity than recorded
constexpr milliseconds unhealthy_pause{1'000};
// The assumed cost of queries for a queue that is not in the configuration.
constexpr placement_query_cost default_query_cost{milliseconds{50}, base::microseconds{1'000}, {}};

}  // namespace

vm_record* scheduler::state::find_vm(const vm_id& vm) {
    const auto it = vms.find(vm);
    return it == vms.end() ? nullptr : it->second.get();
}

placed_run* scheduler::state::find_run(vm_record& vm, const task_ref& task, run_number run) {
    const auto it = vm.runs.find(task);
    return it == vm.runs.end() || it->second.run != run ? nullptr : &it->second;
}

void scheduler::vm_listed(const vm_info& facts) {
    auto& entry = state_->vms[facts.id];
    if (!entry) {
        entry = std::make_unique<vm_record>();
        entry->number = state_->vms_by_number.size();
        state_->vms_by_number.push_back(entry.get());
    }
    entry->facts = facts;
    entry->largest_capacity = max_of(entry->largest_capacity, facts.capacity);
}

void scheduler::vm_reachable(const vm_id& id, bool reachable) {
    if (vm_record* const vm = state_->find_vm(id)) {
        if (vm->reachable && !reachable) {
            vm->unreachable_since = state_->last_decision;
            vm->loss_counted = false;
            state_->suspect_crash(*vm);
        }
        vm->reachable = reachable;
    }
}

void scheduler::vm_refuses_connections(const vm_id& id) {
    vm_record* const vm = state_->find_vm(id);
    if (vm != nullptr && !vm->reachable && !vm->loss_counted) {
        vm->loss_counted = true;
        state_->count_queue_losses(*vm, state_->explaining_runs(*vm));
    }
}

bool scheduler::is_drained(const vm_id& id) const {
    const vm_record* const vm = state_->find_vm(id);
    return vm != nullptr && vm->facts.leaving && vm->reported && vm->runs.empty() &&
           vm->concealed.empty() && vm->lists_all_completions && vm->unsaved.empty();
}

void scheduler::vm_restarted(const vm_id& id) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    state_->metrics->count("cranberrydock_vms_reborn_total", "");
    if (!vm->ended) {
        state_->count_crash(*vm);
    }
    vm->reported = false;
    vm->last_completion = {};
    vm->unsaved.clear();
    vm->concealed.clear();
    std::vector<task_ref> ended;
    for (auto& it : vm->runs) {
        placed_run& run = it.second;
        if (run.listed && !run.start_pending && !run.start_repeated()) {
            ended.push_back(it.first);
        }
        run.listed = false;
        run.may_start_late = run.start_repeated();
        run.stop_answered.reset();  // by the earlier incarnation
        run.stop_outdated = run.stop_pending;
    }
    spdlog::info("event=vm_reborn vm={} runs={} ended={}", id.str(), vm->runs.size(), ended.size());
    state_->drop_lost_runs(*vm, ended, "vm_reborn",
                           {end_proof::other_incarnation, state_->last_decision, {}});
}

void scheduler::vm_lost(const vm_id& id, const std::string& reason, const lease_expiry& expiry,
                        const clock_reading& now) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    spdlog::info(
        "event=vm_lost vm={} reason={} runs={} lease_until={} vm_clock={} "
        "reading_age_ms={} expired_for_ms={}",
        id.str(), reason, vm->runs.size(), expiry.lease_until.value(), expiry.vm_clock.value(),
        expiry.reading_age.count(),
        expiry.expired_for ? std::to_string(expiry.expired_for->count()) : "unknown");
    vm->concealed.clear();
    if (vm->facts.leaving) {
        state_->withdraw_suspicion(*vm);
    }
    state_->add_possible_losses(*vm);
    std::vector<task_ref> lost;
    for (const auto& it : vm->runs) {
        lost.push_back(it.first);
    }
    state_->drop_lost_runs(*vm, lost, reason, {end_proof::lease_expired, now.steady, expiry});
    state_->vms_by_number[vm->number] = nullptr;
    state_->vms.erase(id);
}

void scheduler::vm_process_ended(const vm_id& id) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    state_->count_crash(*vm);
    vm->reported = false;
    vm->ended = true;
    vm->concealed.clear();
    std::vector<task_ref> lost;
    for (const auto& it : vm->runs) {
        const placed_run& run = it.second;
        if (run.confirmed_at && !run.start_pending && run.start_attempts == 1) {
            lost.push_back(it.first);
        }
    }
    spdlog::info("event=vm_ended vm={} runs={} lost={}", id.str(), vm->runs.size(), lost.size());
    state_->drop_lost_runs(*vm, lost, "vm_ended",
                           {end_proof::other_incarnation, state_->last_decision, {}});
}

void scheduler::state::drop_lost_runs(vm_record& vm, const std::vector<task_ref>& tasks,
                                      const std::string& reason, const run_end& end) {
    // A gang that has lost a member cannot continue, so the other members are stopped.
    std::vector<step_ref> broken_gangs;
    for (const auto& task : tasks) {
        metrics->count("cranberrydock_runs_lost_total", "reason=\"" + reason + "\"");
        release(vm, task, end);
        job_record* job = nullptr;
        step_state* const step = find_step(task, &job);
        if (step != nullptr && step->spec->gang && !step->finished()) {
            broken_gangs.push_back({task.job, task.occurrence, task.step});
        }
    }
    for (const auto& it : broken_gangs) {
        job_record* job = nullptr;
        if (step_state* const step = find_step({it.job, it.occurrence, it.step, 0}, &job)) {
            stop_step(it, *step, "gang_lost_a_vm");
        }
    }
}

void scheduler::state::place_run(vm_record& vm, job_record& job, step_state& step,
                                 const task_ref& task, run_number run, const clock_reading& now) {
    placed_run new_run;
    new_run.task = task;
    new_run.run = run;
    new_run.need =
        step.spec->opportunistic ? resources{{}, step.spec->need.memory, {}, {}} : step.spec->need;
    new_run.customer = job.spec.customer;
    new_run.placed_at = now.steady;
    new_run.progressed_at = now.steady;
    vm.last_placed_at = now.steady;
    vm.used += new_run.need;
    in_use[new_run.customer] += new_run.need;
    vm.runs.emplace(task, new_run);
    ++vm.pending_starts;
    ++pending_starts;
    auto& state = step.tasks[static_cast<std::size_t>(task.index)];
    if (state.vm == nullptr) {
        state.vm = &vm;
    } else {
        further_runs.insert({task, vm.facts.id});
    }
    state.last_run = std::max(state.last_run, run);
    ++job.placed_runs;
}

std::size_t scheduler::state::max_pending_commands() const {
    return std::clamp(vms.size() * settings.pending_commands_per_vm, settings.min_pending_commands,
                      settings.max_pending_commands);
}

void scheduler::state::end_start(vm_record& vm, placed_run& run) {
    if (std::exchange(run.start_pending, false)) {
        --vm.pending_starts;
        --pending_starts;
    }
}

void scheduler::state::release(vm_record& vm, const task_ref& task, const run_end& end) {
    const auto it = vm.runs.find(task);
    if (it == vm.runs.end()) {
        return;
    }
    if (end.proof != end_proof::lease_expired && end.proof != end_proof::other_incarnation) {
        withdraw_suspicion(vm, it->second);
    }
    job_record* job = nullptr;
    step_state* const step = find_step(task, &job);
    // A refused start was no run, so it does not hide the one before it.
    if (step != nullptr && !it->second.unknown && end.proof != end_proof::start_refused) {
        auto& previous = step->tasks[static_cast<std::size_t>(task.index)].previous;
        previous = std::make_unique<ended_run>();
        previous->vm = vm.facts.id;
        previous->run = it->second.run;
        previous->adopted = it->second.adopted;
        previous->proof = end.proof;
        previous->proved_at = end.at;
        previous->expiry = end.expiry;
    }
    forget_run(vm, task);
    const auto other = vm.concealed.find(task);
    if (other != vm.concealed.end()) {
        const running_task found = std::move(other->second);
        vm.concealed.erase(other);
        adopt_run(vm, found, {end.at, {}});
    }
}

void scheduler::state::check_restart(const vm_record& vm, const task_ref& task, run_number run,
                                     std::optional<completion_kind> ended, vm_time vm_clock,
                                     const clock_reading& now) {
    job_record* job = nullptr;
    const step_state* const step = find_step(task, &job);
    if (step == nullptr) {
        return;
    }
    const auto& state = step->tasks[static_cast<std::size_t>(task.index)];
    const bool is_elsewhere = state.vm != nullptr && state.vm != &vm;
    const ended_run* const earlier = state.previous.get();
    const bool is_previous =
        earlier != nullptr && earlier->vm == vm.facts.id && earlier->run == run;
    const bool is_restarted = is_previous && earlier->restarted_at;
    // A run of a previous owner, whose leases are not on record here.
    const bool is_inherited = !is_previous && is_elsewhere && job->inherited &&
                              ended == completion_kind::lease_expired &&
                              run.value() <= owner.value() * settings.runs_per_fencing_token;
    // A run that the VM lists had not ended with its incarnation, and its start was delivered.
    const bool is_refuted = is_restarted && earlier->proof != end_proof::lease_expired &&
                            earlier->proof != end_proof::completion;
    if (!is_restarted && !is_inherited && !(is_elsewhere && !ended)) {
        return;
    }
    auto margin = is_restarted ? restart_margin(*earlier, vm_clock, now.steady) : std::nullopt;
    if (is_inherited && latest_inherited_run_end) {
        const auto newer = state.vm->runs.find(task);
        if (newer != state.vm->runs.end() && !newer->second.adopted) {
            // A lower bound: the run may have ended earlier.
            margin = std::chrono::duration_cast<milliseconds>(newer->second.placed_at -
                                                              *latest_inherited_run_end);
        }
    }
    if (margin && ended) {
        metrics->observe("cranberrydock_restart_margin_ms", "",
                         static_cast<double>(margin->count()));
    }
    const bool in_two_places =
        (is_elsewhere && !ended) || is_refuted || (margin && margin->count() < 0);
    if (in_two_places) {
        metrics->count("cranberrydock_tasks_in_two_places_total", "");
    }
    const bool was_done = ended == completion_kind::done;
    spdlog::log(in_two_places ? spdlog::level::err
                : was_done    ? spdlog::level::warn
                              : spdlog::level::info,
                "event={} task={} vm={} run={} kind={} vm_clock={} last_run={} last_run_vm={} "
                "proof={} margin_ms={} fence={}",
                in_two_places ? "task_in_two_places" : "earlier_run_ended", to_string(task),
                vm.facts.id.str(), run.value(), ended ? to_string(*ended) : "running",
                vm_clock.value(), state.last_run.value(),
                state.vm == nullptr ? "none" : state.vm->facts.id.str(),
                is_previous    ? to_string(earlier->proof)
                : is_inherited ? "inherited"
                               : "none",
                margin ? std::to_string(margin->count()) : "unknown", owner.value());
}

void scheduler::state::forget_run(vm_record& vm, const task_ref& task) {
    const auto it = vm.runs.find(task);
    vm.used -= it->second.need;
    count_release(vm, it->second);
    const bool unknown = it->second.unknown;
    (unknown ? unknown_use : in_use[it->second.customer]) -= it->second.need;
    unknown_runs.erase({task, vm.facts.id});
    const checkpoint saved = it->second.saved;
    end_start(vm, it->second);
    vm.runs.erase(it);
    stopping.erase({vm.facts.id, task});
    job_record* job = nullptr;
    step_state* const step = find_step(task, &job);
    if (step == nullptr || unknown) {
        return;
    }
    --job->placed_runs;
    auto& state = step->tasks[static_cast<std::size_t>(task.index)];
    if (!saved.empty()) {
        state.saved = saved;
    }
    if (!further_runs.empty()) {
        remove_further_run(vm, task, state);
    } else if (state.vm == &vm) {
        state.vm = nullptr;
    }
    if (is_final(job->state)) {
        jobs_to_forget.insert(task.job);
    } else if (!state.done && state.vm == nullptr) {
        mark_open({task.job, task.occurrence, task.step}, *job, *step);
    }
}

bool scheduler::state::has_further_run(const task_ref& task) const {
    if (further_runs.empty()) {
        return false;
    }
    const auto it = further_runs.lower_bound({task, {}});
    return it != further_runs.end() && it->first == task;
}

void scheduler::state::remove_further_run(const vm_record& vm, const task_ref& task,
                                          detail::task_state& state) {
    if (state.vm != &vm) {
        further_runs.erase({task, vm.facts.id});
        return;
    }
    if (!has_further_run(task)) {
        state.vm = nullptr;
        return;
    }
    const auto next = further_runs.lower_bound({task, {}});
    state.vm = find_vm(next->second);
    further_runs.erase(next);
}

void scheduler::state::request_stop(vm_record& vm, placed_run& run, const std::string& reason) {
    if (run.phase != run_phase::stopping) {
        run.phase = run_phase::stopping;
        run.stop_reason = reason;
        stopping.insert({vm.facts.id, run.task});
        metrics->count("cranberrydock_stops_total", "reason=\"" + reason + "\"");
    }
}

// Stops a run that may or may not have started. If it belongs to a gang, stops the whole gang.
void scheduler::state::abandon_start(vm_record& vm, placed_run& run, const std::string& reason) {
    request_stop(vm, run, reason);
    job_record* job = nullptr;
    step_state* const step = find_step(run.task, &job);
    if (step != nullptr && step->spec->gang && !step->finished()) {
        stop_step({run.task.job, run.task.occurrence, run.task.step}, *step, reason);
    }
}

void scheduler::state::stop_late_gangs(const clock_reading& now) {
    for (auto it = forming_gangs.begin(); it != forming_gangs.end();) {
        job_record* job = nullptr;
        step_state* const step = find_step({it->job, it->occurrence, it->step, 0}, &job);
        bool is_forming = false;
        bool is_late = false;
        for (std::size_t i = 0; step != nullptr && i < step->tasks.size(); ++i) {
            const vm_record* const vm = step->tasks[i].vm;
            const auto run =
                vm == nullptr
                    ? decltype(vm->runs.begin()){}
                    : vm->runs.find({it->job, it->occurrence, it->step, static_cast<int>(i)});
            if (vm != nullptr && run != vm->runs.end() &&
                run->second.phase == run_phase::starting) {
                is_forming = true;
                is_late |= now.steady - run->second.placed_at > settings.gang_start_timeout;
            }
        }
        if (is_late) {
            stop_step(*it, *step, "gang_start_late");
        }
        it = is_forming && !is_late ? std::next(it) : forming_gangs.erase(it);
    }
}

void scheduler::state::retry_starts(decisions& out) {
    for (const auto& it : starts_to_retry) {
        vm_record* const vm = find_vm(it.first);
        const auto run = vm == nullptr ? decltype(vm->runs.begin()){} : vm->runs.find(it.second);
        if (vm == nullptr || run == vm->runs.end() || !run->second.start_pending) {
            continue;
        }
        job_record* job = nullptr;
        step_state* const step = find_step(it.second, &job);
        if (step == nullptr || run->second.phase != run_phase::starting) {
            // A report has shown the run, or its stop is requested.
            end_start(*vm, run->second);
            if (step == nullptr) {
                request_stop(*vm, run->second, "job_unknown");
            }
            continue;
        }
        if (has_further_run(it.second) || vm->concealed.count(it.second) > 0) {
            end_start(*vm, run->second);
            abandon_start(*vm, run->second, "another_run_found");
            continue;
        }
        if (!fits({}, vm->free())) {
            end_start(*vm, run->second);
            abandon_start(*vm, run->second, "capacity_shrunk");
            continue;
        }
        out.starts.push_back(make_start_decision(*vm, *job, *step, it.second, run->second.run));
    }
    starts_to_retry.clear();
}

void scheduler::state::issue_stops(const clock_reading& now, decisions& out) {
    std::size_t pending = 0;
    for (const auto& it : stopping) {
        const vm_record* const vm = find_vm(it.first);
        const auto run = vm == nullptr ? decltype(vm->runs.begin()){} : vm->runs.find(it.second);
        pending += vm != nullptr && run != vm->runs.end() && run->second.stop_pending ? 1 : 0;
    }
    for (const auto& it : stopping) {
        if (pending >= max_pending_commands()) {
            break;
        }
        vm_record* const vm = find_vm(it.first);
        const auto run = vm == nullptr ? decltype(vm->runs.begin()){} : vm->runs.find(it.second);
        if (vm == nullptr || run == vm->runs.end() || run->second.stop_pending ||
            run->second.stop_answered || !vm->reachable ||
            (run->second.stop_retry_at && now.steady < *run->second.stop_retry_at)) {
            continue;
        }
        run->second.stop_pending = true;
        ++pending;
        out.stops.push_back({it.first, it.second, run->second.run, run->second.stop_reason});
    }
}

void scheduler::start_answered(const vm_id& id, const task_ref& task, run_number number,
                               const tl::expected<vm_time, command_failure>& answer,
                               const clock_reading& now) {
    vm_record* const vm = state_->find_vm(id);
    placed_run* const run = vm == nullptr ? nullptr : state_->find_run(*vm, task, number);
    if (run == nullptr) {
        return;
    }
    if (answer) {
        vm->answered_at = now.steady;
        state_->end_start(*vm, *run);
        if (run->phase == run_phase::starting) {
            run->phase = run_phase::running;
        }
        if (!run->confirmed_at) {
            run->confirmed_at = now.steady;
            state_->count_start(*vm, task, now);
        }
        return;
    }
    state_->metrics->count("cranberrydock_start_failures_total",
                           std::string("reason=\"") + to_string(answer.error()) + "\"");
    if (answer.error() == command_failure::answer_lost ||
        (answer.error() == command_failure::not_delivered && run->start_attempts > 1)) {
        if (run->phase == run_phase::starting &&
            run->start_attempts < state_->settings.max_start_attempts) {
            ++run->start_attempts;
            state_->starts_to_retry.insert({id, task});
            return;
        }
        state_->end_start(*vm, *run);
        if (!run->confirmed_at) {
            state_->abandon_start(*vm, *run, "start_unanswered");
        }
        return;
    }
    state_->end_start(*vm, *run);
    if (run->confirmed_at) {
        return;  // a repeated start was refused because the run has ended
    }
    if (run->start_attempts > 1) {
        // An earlier start command for this run may have been carried out.
        state_->abandon_start(*vm, *run, "start_unclear");
        return;
    }
    job_record* job = nullptr;
    step_state* const step = state_->find_step(task, &job);
    if (answer.error() == command_failure::no_room) {
        vm->avoid_until = now.steady + no_room_pause;
    } else if (answer.error() == command_failure::unhealthy ||
               answer.error() == command_failure::not_delivered) {
        vm->avoid_until = now.steady + unhealthy_pause;
    } else if (answer.error() == command_failure::ticket_invalid && step != nullptr) {
        step->grants.erase(vm->number);
        if (job->queue == nullptr && !job->query_cost) {
            // Its queue was removed before this owner read the configuration.
            job->query_cost = default_query_cost;
        }
    }
    const bool not_delivered = answer.error() == command_failure::not_delivered;
    state_->release(
        *vm, task,
        {not_delivered ? end_proof::not_delivered : end_proof::start_refused, now.steady, {}});
    if (step != nullptr && step->spec->gang && !step->finished()) {
        state_->stop_step({task.job, task.occurrence, task.step}, *step, "gang_member_refused");
    }
}

void scheduler::stop_answered(const vm_id& id, const task_ref& task, run_number number,
                              const tl::expected<vm_time, command_failure>& answer,
                              const clock_reading& now) {
    vm_record* const vm = state_->find_vm(id);
    placed_run* const run = vm == nullptr ? nullptr : state_->find_run(*vm, task, number);
    if (run == nullptr) {
        return;
    }
    run->stop_pending = false;
    const bool outdated = std::exchange(run->stop_outdated, false);
    if (answer && !outdated) {
        run->stop_answered = now.steady;
    } else {
        run->stop_retry_at = now.steady + stop_retry_pause;
    }
}

void scheduler::vm_reported(const vm_id& id, const vm_report& report, base::time_point requested_at,
                            const clock_reading& now) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    vm->reported = true;
    vm->ended = false;
    vm->reachable = true;
    vm->answered_at = now.steady;
    vm->reported_boot = report.boot;
    vm->concealed.clear();
    state_->withdraw_suspicion(*vm);
    for (const auto& it : report.completions) {
        if (it.number > vm->last_completion) {
            vm->last_completion = it.number;
            state_->handle_completion(*vm, it, report.now, now);
        }
    }
    for (const auto& it : report.running) {
        if (state_->find_run(*vm, it.task, it.run) == nullptr) {
            state_->check_restart(*vm, it.task, it.run, std::nullopt, report.now, now);
        }
        state_->handle_running(*vm, it, now);
    }
    vm->lists_all_completions = report.lists_all_completions();
    if (vm->lists_all_completions) {
        state_->drop_missing_runs(*vm, report, requested_at, now);
    } else {
        state_->find_ended_runs(*vm, report, requested_at);
    }
}

void scheduler::state::handle_running(vm_record& vm, const running_task& reported_run,
                                      const clock_reading& now) {
    placed_run* const run = find_run(vm, reported_run.task, reported_run.run);
    if (run == nullptr) {
        adopt_run(vm, reported_run, now);
        return;
    }
    run->listed = true;
    if (!run->confirmed_at) {
        run->confirmed_at = now.steady;
        count_start(vm, reported_run.task, now);
    }
    if (run->phase == run_phase::starting) {
        run->phase = run_phase::running;
    }
    if (run->percent != reported_run.percent || run->saved != reported_run.last_checkpoint) {
        run->percent = reported_run.percent;
        run->saved = reported_run.last_checkpoint;
        run->progressed_at = now.steady;
    }
    job_record* job = nullptr;
    if (find_step(reported_run.task, &job) != nullptr && !job->started) {
        mark_started(*job);
    }
}

// Adopts a run that a previous owner started, or requests its stop if it is not wanted.
void scheduler::state::adopt_run(vm_record& vm, const running_task& found,
                                 const clock_reading& now) {
    open_up_to(found.task);
    job_record* job = nullptr;
    step_state* const step = find_step(found.task, &job);
    if (vm.runs.count(found.task) > 0) {
        // Another run of the same task is on record, whose start may be unanswered.
        vm.concealed[found.task] = found;
        return;
    }
    const bool wanted = step != nullptr && job->inherited && !is_final(job->state) &&
                        !step->tasks[static_cast<std::size_t>(found.task.index)].done &&
                        step->tasks[static_cast<std::size_t>(found.task.index)].vm == nullptr;
    spdlog::info("event=run_found vm={} task={} run={} outcome={}", vm.facts.id.str(),
                 to_string(found.task), found.run.value(), wanted ? "adopted" : "stopped");
    if (step == nullptr) {
        // The run's need is not known, so nothing else is placed on the VM until the run has ended.
        placed_run unknown_run;
        unknown_run.unknown = true;
        unknown_run.need = vm.largest_capacity;
        vm.used += unknown_run.need;
        unknown_use += unknown_run.need;
        unknown_run.task = found.task;
        unknown_run.run = found.run;
        unknown_run.start_pending = false;
        unknown_run.confirmed_at = now.steady;
        unknown_run.listed = true;
        unknown_run.adopted = true;
        auto& placed = vm.runs.emplace(found.task, unknown_run).first->second;
        unknown_runs.insert({found.task, vm.facts.id});
        request_stop(vm, placed, "job_unknown");
        return;
    }
    place_run(vm, *job, *step, found.task, found.run, now);
    auto& placed = vm.runs.at(found.task);
    end_start(vm, placed);
    placed.confirmed_at = now.steady;
    placed.listed = true;
    placed.adopted = true;
    placed.phase = run_phase::running;
    placed.saved = found.last_checkpoint;
    placed.percent = found.percent;
    if (wanted) {
        if (!job->started) {
            mark_started(*job);
        }
        return;
    }
    request_stop(vm, placed, "not_wanted");
}

void scheduler::state::assign_unknown_runs(const job_id& id) {
    auto it = unknown_runs.lower_bound({{id, 0, 0, 0}, {}});
    while (it != unknown_runs.end() && it->first.job == id) {
        const auto [task, vm_name] = *it;
        it = std::next(it);
        job_record* job = nullptr;
        step_state* const step = find_step(task, &job);
        vm_record* const vm = find_vm(vm_name);
        if (step == nullptr || vm == nullptr) {
            continue;
        }
        // The run is being stopped. The task does not start elsewhere until it has ended.
        const placed_run previous = vm->runs.at(task);
        const clock_reading original_time{previous.placed_at, {}};
        forget_run(*vm, task);
        place_run(*vm, *job, *step, task, previous.run, original_time);
        auto& run = vm->runs.at(task);
        end_start(*vm, run);
        run.confirmed_at = previous.confirmed_at;
        run.listed = previous.listed;
        run.adopted = previous.adopted;
        run.may_start_late = previous.may_start_late;
        run.saved = previous.saved;
        run.stop_pending = previous.stop_pending;
        run.stop_outdated = previous.stop_outdated;
        run.stop_answered = previous.stop_answered;
        run.stop_retry_at = previous.stop_retry_at;
        request_stop(*vm, run, previous.stop_reason);
    }
}

namespace {

std::set<std::pair<task_ref, std::int32_t>> runs_listed_in(const vm_report& report) {
    std::set<std::pair<task_ref, std::int32_t>> out;
    for (const auto& it : report.running) {
        out.insert({it.task, it.run.value()});
    }
    return out;
}

}  // namespace

// Finds the runs whose completions the VM has not listed yet: it does not run them any more.
void scheduler::state::find_ended_runs(vm_record& vm, const vm_report& report,
                                       base::time_point requested_at) {
    const auto listed = runs_listed_in(report);
    for (auto& it : vm.runs) {
        placed_run& run = it.second;
        run.completion_unlisted = run.confirmed_at && *run.confirmed_at < requested_at &&
                                  !run.start_pending && !run.may_start_late &&
                                  listed.count({it.first, run.run.value()}) == 0;
    }
}

// Removes the runs that the report shows neither as running nor as completed, if the report was
// requested late enough to prove that they are gone.
void scheduler::state::drop_missing_runs(vm_record& vm, const vm_report& report,
                                         base::time_point requested_at, const clock_reading& now) {
    const auto listed = runs_listed_in(report);
    std::vector<task_ref> gone;
    for (auto& it : vm.runs) {
        placed_run& run = it.second;
        if (listed.count({it.first, run.run.value()}) > 0) {
            continue;
        }
        const bool never_will_run = run.stop_answered && *run.stop_answered < requested_at;
        const bool has_vanished =
            run.confirmed_at && *run.confirmed_at < requested_at && !run.start_pending;
        if (never_will_run || (has_vanished && !run.may_start_late)) {
            gone.push_back(it.first);
        } else if (has_vanished) {
            request_stop(vm, run, "start_may_be_late");
        }
    }
    for (const auto& it : gone) {
        const placed_run& run = vm.runs.at(it);
        if (!run.stop_answered) {
            spdlog::warn("event=run_vanished vm={} task={} run={}", vm.facts.id.str(),
                         to_string(it), run.run.value());
        }
        release(vm, it, {end_proof::not_listed, now.steady, {}});
        job_record* job = nullptr;
        step_state* const step = find_step(it, &job);
        if (step != nullptr && step->spec->gang && !step->finished()) {
            stop_step({it.job, it.occurrence, it.step}, *step, "gang_member_missing");
        }
    }
}

}  // namespace cranberrydock::fleet
