// VMs: what runs where, read from their reports and from the answers to orders.
#include "scheduler_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::placed_run;
using detail::run_phase;
using detail::step_state;
using detail::vm_record;

namespace {

constexpr milliseconds stop_retry_pause{200};  // a lost order to stop is repeated after this
constexpr milliseconds no_room_pause{500};     // a VM that is fuller than its books say
constexpr milliseconds unhealthy_pause{1'000};
constexpr std::size_t most_ends_in_report = 500;  // a full list may leave some out

}  // namespace

vm_record* scheduler::state::find_vm(const vm_id& vm) {
    const auto it = vms.find(vm);
    return it == vms.end() ? nullptr : it->second.get();
}

placed_run* scheduler::state::find_run(vm_record& vm, const task_ref& task, run_number run) {
    const auto it = vm.runs.find(task);
    return it == vm.runs.end() || it->second.run != run ? nullptr : &it->second;
}

void scheduler::vm_seen(const vm_facts& facts) {
    auto& slot = state_->vms[facts.id];
    if (!slot) {
        slot = std::make_unique<vm_record>();
        slot->number = state_->vm_numbers.size();
        state_->vm_numbers.push_back(slot.get());
    }
    slot->facts = facts;
}

void scheduler::vm_reachable(const vm_id& id, bool reachable) {
    if (vm_record* const vm = state_->find_vm(id)) {
        vm->reachable = reachable;
    }
}

void scheduler::vm_reborn(const vm_id& id) {
    if (vm_record* const vm = state_->find_vm(id)) {
        spdlog::info("event=vm_reborn vm={} runs={}", id.str(), vm->runs.size());
        state_->metrics->count("cranberrydock_vms_reborn_total", "");
        vm->reported = false;
        vm->last_end = {};
        vm->unsaved.clear();
    }
}

void scheduler::vm_lost(const vm_id& id, const std::string& reason) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    spdlog::info("event=vm_lost vm={} reason={} runs={}", id.str(), reason, vm->runs.size());
    std::vector<task_ref> lost;
    for (const auto& it : vm->runs) {
        lost.push_back(it.first);
    }
    state_->lose_runs(*vm, lost, reason);
    state_->vm_numbers[vm->number] = nullptr;
    state_->vms.erase(id);
}

void scheduler::vm_ended(const vm_id& id) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    vm->reported = false;
    vm->ended = true;
    std::vector<task_ref> lost;
    for (const auto& it : vm->runs) {
        const placed_run& run = it.second;
        if (run.confirmed && !run.start_open && run.start_orders == 1) {
            lost.push_back(it.first);
        }
    }
    spdlog::info("event=vm_ended vm={} runs={} lost={}", id.str(), vm->runs.size(), lost.size());
    state_->lose_runs(*vm, lost, "vm_ended");
}

void scheduler::state::lose_runs(vm_record& vm, const std::vector<task_ref>& tasks,
                                 const std::string& reason) {
    // The other members of a gang that has lost one can't go on.
    std::vector<step_ref> broken;
    for (const auto& task : tasks) {
        metrics->count("cranberrydock_runs_lost_total", "reason=\"" + reason + "\"");
        release(vm, task);
        job_record* job = nullptr;
        step_state* const step = find_step(task, &job);
        if (step != nullptr && step->spec->gang && !step->finished()) {
            broken.push_back({task.job, task.occurrence, task.step});
        }
    }
    for (const auto& it : broken) {
        job_record* job = nullptr;
        if (step_state* const step = find_step({it.job, it.occurrence, it.step, 0}, &job)) {
            stop_step(it, *step, "gang_lost_a_vm");
        }
    }
}

void scheduler::state::place(vm_record& vm, job_record& job, step_state& step, const task_ref& task,
                             run_number run, const moment& now) {
    placed_run one;
    one.task = task;
    one.run = run;
    one.need = step.spec->fills ? resources{{}, step.spec->need.memory, {}, {}} : step.spec->need;
    one.customer = job.spec.customer;
    one.ordered = now.steady;
    one.progressed = now.steady;
    vm.used += one.need;
    in_use[one.customer] += one.need;
    vm.runs.emplace(task, one);
    auto& state = step.tasks[static_cast<std::size_t>(task.index)];
    state.vm = &vm;
    state.last_run = std::max(state.last_run, run);
    ++job.placed_runs;
}

void scheduler::state::release(vm_record& vm, const task_ref& task) {
    const auto it = vm.runs.find(task);
    if (it == vm.runs.end()) {
        return;
    }
    vm.used -= it->second.need;
    const bool unknown = it->second.unknown;
    (unknown ? unknown_use : in_use[it->second.customer]) -= it->second.need;
    unknown_runs.erase({task, vm.facts.id});
    const checkpoint saved = it->second.saved;
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
    if (state.vm == &vm) {
        state.vm = nullptr;
    }
    if (is_final(job->state)) {
        ending.insert(task.job);
    } else if (!state.done) {
        note_open({task.job, task.occurrence, task.step}, *job, *step);
    }
}

void scheduler::state::want_stop(vm_record& vm, placed_run& run, const std::string& reason) {
    if (run.phase != run_phase::stopping) {
        run.phase = run_phase::stopping;
        run.stop_reason = reason;
        stopping.insert({vm.facts.id, run.task});
        metrics->count("cranberrydock_stops_total", "reason=\"" + reason + "\"");
    }
}

// Stops a run that may or may not have started; a gang without it can't work.
void scheduler::state::give_up_start(vm_record& vm, placed_run& run, const std::string& reason) {
    want_stop(vm, run, reason);
    job_record* job = nullptr;
    step_state* const step = find_step(run.task, &job);
    if (step != nullptr && step->spec->gang && !step->finished()) {
        stop_step({run.task.job, run.task.occurrence, run.task.step}, *step, reason);
    }
}

void scheduler::state::check_forming(const moment& now) {
    for (auto it = forming.begin(); it != forming.end();) {
        job_record* job = nullptr;
        step_state* const step = find_step({it->job, it->occurrence, it->step, 0}, &job);
        bool forms = false;
        bool late = false;
        for (std::size_t i = 0; step != nullptr && i < step->tasks.size(); ++i) {
            const vm_record* const vm = step->tasks[i].vm;
            const auto run =
                vm == nullptr
                    ? decltype(vm->runs.begin()){}
                    : vm->runs.find({it->job, it->occurrence, it->step, static_cast<int>(i)});
            if (vm != nullptr && run != vm->runs.end() &&
                run->second.phase == run_phase::starting) {
                forms = true;
                late |= now.steady - run->second.ordered > settings.gang_patience;
            }
        }
        if (late) {
            stop_step(*it, *step, "gang_start_late");
        }
        it = forms && !late ? std::next(it) : forming.erase(it);
    }
}

void scheduler::state::order_starts_again(decisions& out) {
    for (const auto& it : start_again) {
        vm_record* const vm = find_vm(it.first);
        const auto run = vm == nullptr ? decltype(vm->runs.begin()){} : vm->runs.find(it.second);
        if (vm == nullptr || run == vm->runs.end() || !run->second.start_open) {
            continue;
        }
        job_record* job = nullptr;
        step_state* const step = find_step(it.second, &job);
        if (step == nullptr || run->second.phase != run_phase::starting) {
            run->second.start_open = false;  // a report has shown it, or its end is wanted
            if (step == nullptr) {
                want_stop(*vm, run->second, "job_unknown");
            }
            continue;
        }
        out.starts.push_back(start_order_of(*vm, *job, *step, it.second, run->second.run));
    }
    start_again.clear();
}

void scheduler::state::order_stops(const moment& now, decisions& out) {
    for (const auto& it : stopping) {
        vm_record* const vm = find_vm(it.first);
        const auto run = vm == nullptr ? decltype(vm->runs.begin()){} : vm->runs.find(it.second);
        if (vm == nullptr || run == vm->runs.end() || run->second.stop_open ||
            run->second.stop_answered || !vm->reachable ||
            (run->second.stop_again && now.steady < *run->second.stop_again)) {
            continue;
        }
        run->second.stop_open = true;
        out.stops.push_back({it.first, it.second, run->second.run, run->second.stop_reason});
    }
}

void scheduler::start_answered(const vm_id& id, const task_ref& task, run_number number,
                               const tl::expected<vm_time, order_failure>& answer,
                               const moment& now) {
    vm_record* const vm = state_->find_vm(id);
    placed_run* const run = vm == nullptr ? nullptr : state_->find_run(*vm, task, number);
    if (run == nullptr) {
        return;
    }
    if (answer) {
        run->start_open = false;
        if (run->phase == run_phase::starting) {
            run->phase = run_phase::running;
        }
        if (!run->confirmed) {
            run->confirmed = now.steady;
        }
        return;
    }
    state_->metrics->count("cranberrydock_start_failures_total",
                           std::string("reason=\"") + to_string(answer.error()) + "\"");
    if (answer.error() == order_failure::answer_lost ||
        (answer.error() == order_failure::not_delivered && run->start_orders > 1)) {
        if (run->phase == run_phase::starting && run->start_orders < state_->settings.start_tries) {
            ++run->start_orders;
            state_->start_again.insert({id, task});
            return;
        }
        run->start_open = false;
        if (!run->confirmed) {
            state_->give_up_start(*vm, *run, "start_unanswered");
        }
        return;
    }
    run->start_open = false;
    if (run->confirmed) {
        return;  // a repeated order was refused: the run has ended
    }
    if (run->start_orders > 1) {
        // An earlier order to the same effect may have been carried out.
        state_->give_up_start(*vm, *run, "start_unclear");
        return;
    }
    job_record* job = nullptr;
    step_state* const step = state_->find_step(task, &job);
    if (answer.error() == order_failure::no_room) {
        vm->avoid_until = now.steady + no_room_pause;
    } else if (answer.error() == order_failure::unhealthy ||
               answer.error() == order_failure::not_delivered) {
        vm->avoid_until = now.steady + unhealthy_pause;
    } else if (answer.error() == order_failure::ticket_invalid && step != nullptr) {
        step->grants.erase(vm->number);
    }
    state_->release(*vm, task);
    if (step != nullptr && step->spec->gang && !step->finished()) {
        state_->stop_step({task.job, task.occurrence, task.step}, *step, "gang_member_refused");
    }
}

void scheduler::stop_answered(const vm_id& id, const task_ref& task, run_number number,
                              const tl::expected<vm_time, order_failure>& answer,
                              const moment& now) {
    vm_record* const vm = state_->find_vm(id);
    placed_run* const run = vm == nullptr ? nullptr : state_->find_run(*vm, task, number);
    if (run == nullptr) {
        return;
    }
    run->stop_open = false;
    if (answer) {
        run->stop_answered = now.steady;
    } else {
        run->stop_again = now.steady + stop_retry_pause;
    }
}

void scheduler::vm_reported(const vm_id& id, const vm_report& report, base::time_point asked,
                            const moment& now) {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return;
    }
    vm->reported = true;
    vm->ended = false;
    vm->reachable = true;
    for (const auto& it : report.ends) {
        if (it.number > vm->last_end) {
            vm->last_end = it.number;
            state_->handle_end(*vm, it, now);
        }
    }
    for (const auto& it : report.running) {
        state_->handle_running(*vm, it, now);
    }
    if (report.ends.size() < most_ends_in_report) {
        state_->drop_missing(*vm, report, asked, now);
    }
}

void scheduler::state::handle_running(vm_record& vm, const running_task& task, const moment& now) {
    placed_run* const run = find_run(vm, task.task, task.run);
    if (run == nullptr) {
        adopt(vm, task, now);
        return;
    }
    if (!run->confirmed) {
        run->confirmed = now.steady;
    }
    if (run->phase == run_phase::starting) {
        run->phase = run_phase::running;
    }
    if (run->percent != task.percent || run->saved != task.saved) {
        run->percent = task.percent;
        run->saved = task.saved;
        run->progressed = now.steady;
    }
    job_record* job = nullptr;
    if (find_step(task.task, &job) != nullptr && !job->started) {
        job->started = true;
        note_change(*job);
    }
}

// Takes over a run that an earlier owner started, or has one stopped that nobody wants.
void scheduler::state::adopt(vm_record& vm, const running_task& found, const moment& now) {
    open_found(found.task);
    job_record* job = nullptr;
    step_state* const step = find_step(found.task, &job);
    if (vm.runs.count(found.task) > 0) {
        // Another run of the same task is on the books; the newer one is what was ordered last.
        return;
    }
    const bool wanted = step != nullptr && job->inherited && !is_final(job->state) &&
                        !step->tasks[static_cast<std::size_t>(found.task.index)].done &&
                        step->tasks[static_cast<std::size_t>(found.task.index)].vm == nullptr;
    spdlog::info("event=run_found vm={} task={} run={} outcome={}", vm.facts.id.str(),
                 to_string(found.task), found.run.value(), wanted ? "adopted" : "stopped");
    if (step == nullptr) {
        // What it needs is not known: nothing else is placed there until it has ended.
        placed_run stray;
        stray.unknown = true;
        stray.need = vm.facts.capacity;
        vm.used += stray.need;
        unknown_use += stray.need;
        stray.task = found.task;
        stray.run = found.run;
        stray.start_open = false;
        stray.confirmed = now.steady;
        auto& placed = vm.runs.emplace(found.task, stray).first->second;
        unknown_runs.insert({found.task, vm.facts.id});
        want_stop(vm, placed, "job_unknown");
        return;
    }
    vm_record* const holder = step->tasks[static_cast<std::size_t>(found.task.index)].vm;
    place(vm, *job, *step, found.task, found.run, now);
    auto& placed = vm.runs.at(found.task);
    placed.start_open = false;
    placed.confirmed = now.steady;
    placed.phase = run_phase::running;
    placed.saved = found.saved;
    placed.percent = found.percent;
    if (wanted) {
        if (!job->started) {
            job->started = true;
            note_change(*job);
        }
        return;
    }
    if (holder != nullptr) {
        step->tasks[static_cast<std::size_t>(found.task.index)].vm = holder;
    }
    want_stop(vm, placed, "not_wanted");
}

void scheduler::state::claim_unknown_runs(const job_id& id) {
    auto it = unknown_runs.lower_bound({{id, 0, 0, 0}, {}});
    while (it != unknown_runs.end() && it->first.job == id) {
        const auto [task, where] = *it;
        it = std::next(it);
        job_record* job = nullptr;
        step_state* const step = find_step(task, &job);
        vm_record* const vm = find_vm(where);
        if (step == nullptr || vm == nullptr) {
            continue;
        }
        // It is being stopped: until it has ended, the task starts nowhere else.
        const placed_run was = vm->runs.at(task);
        const moment placed_at{was.ordered, {}};
        release(*vm, task);
        place(*vm, *job, *step, task, was.run, placed_at);
        auto& run = vm->runs.at(task);
        run.start_open = false;
        run.confirmed = was.confirmed;
        run.saved = was.saved;
        run.stop_open = was.stop_open;
        run.stop_answered = was.stop_answered;
        run.stop_again = was.stop_again;
        want_stop(*vm, run, was.stop_reason);
    }
}

// Takes off the books what the VM neither runs nor has listed the end of, if the report was asked
// for late enough to tell.
void scheduler::state::drop_missing(vm_record& vm, const vm_report& report, base::time_point asked,
                                    const moment& /*now*/) {
    std::set<std::pair<task_ref, std::int32_t>> listed;
    for (const auto& it : report.running) {
        listed.insert({it.task, it.run.value()});
    }
    std::vector<task_ref> gone;
    for (const auto& it : vm.runs) {
        const placed_run& run = it.second;
        if (listed.count({it.first, run.run.value()}) > 0) {
            continue;
        }
        const bool never_will_run = run.stop_answered && *run.stop_answered < asked;
        const bool vanished = run.confirmed && *run.confirmed < asked && !run.start_open;
        if (never_will_run || vanished) {
            gone.push_back(it.first);
        }
    }
    for (const auto& it : gone) {
        const placed_run& run = vm.runs.at(it);
        if (!run.stop_answered) {
            spdlog::warn("event=run_vanished vm={} task={} run={}", vm.facts.id.str(),
                         to_string(it), run.run.value());
        }
        release(vm, it);
        job_record* job = nullptr;
        step_state* const step = find_step(it, &job);
        if (step != nullptr && step->spec->gang && !step->finished()) {
            stop_step({it.job, it.occurrence, it.step}, *step, "gang_member_missing");
        }
    }
}

}  // namespace cranberrydock::fleet
