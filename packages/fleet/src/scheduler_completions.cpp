// Applies the completions that VMs list to the jobs, and determines which ones a VM may forget.
#include "scheduler_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::placed_run;
using detail::step_state;
using detail::vm_record;

namespace {

constexpr std::size_t failed_jobs_before_quarantine = 2;

placed_run* run_of(const detail::task_state& state, const task_ref& task) {
    if (state.vm == nullptr) {
        return nullptr;
    }
    const auto it = state.vm->runs.find(task);
    return it == state.vm->runs.end() ? nullptr : &it->second;
}

}  // namespace

void scheduler::state::handle_completion(vm_record& vm, const task_completion& completion,
                                         vm_time vm_clock, const clock_reading& now) {
    open_up_to(completion.task);
    job_record* job = nullptr;
    step_state* const step = find_step(completion.task, &job);
    placed_run* const run = find_run(vm, completion.task, completion.run);
    if (run != nullptr && completion.kind == completion_kind::done && run->confirmed_at &&
        step != nullptr && !step->spec->long_running) {
        history[job->spec.queue].add_run_time(
            std::chrono::duration_cast<milliseconds>(now.steady - run->placed_at));
    }
    if (run != nullptr) {
        if (!completion.last_checkpoint.empty()) {
            run->saved = completion.last_checkpoint;
        }
        release(vm, completion.task, {end_proof::completion, now.steady, {}});
    } else {
        check_restart(vm, completion.task, completion.run, completion.kind, vm_clock, now);
    }
    metrics->count("cranberrydock_task_ends_total",
                   std::string("kind=\"") + to_string(completion.kind) + "\"");
    if (completion.kind == completion_kind::gang_incomplete) {
        spdlog::warn("event=gang_incomplete task={} run={} vm={} known={}",
                     to_string(completion.task), completion.run.value(), vm.facts.id.str(),
                     run != nullptr);
    }
    if (job == nullptr && ended.count(completion.task.job) == 0) {
        // The change feed of the jobs may lag behind the VM's report. The completion is held, so
        // that its task does not start again once the job is known.
        held_completions[completion.task.job].push_back({vm.facts.id, completion, now.steady});
        vm.unsaved.push_back({completion.number, completion.task.job, 0, true});
        return;
    }
    if (step != nullptr && !is_final(job->state)) {
        apply_completion(*job, *step, completion, now);
        if (completion.kind == completion_kind::failed) {
            record_failure(vm, completion.task.job, now);
        } else if (completion.kind == completion_kind::done && !step->spec->long_running) {
            vm.failed_jobs.clear();
        }
    }
    vm.unsaved.push_back(
        {completion.number, completion.task.job, job == nullptr ? 0 : job->change, false});
}

void scheduler::state::record_failure(vm_record& vm, const job_id& job, const clock_reading& now) {
    vm.failed_jobs.insert(job);
    if (vm.failed_jobs.size() >= failed_jobs_before_quarantine) {
        spdlog::info("event=vm_quarantined vm={} failed_jobs={} for_ms={}", vm.facts.id.str(),
                     vm.failed_jobs.size(), settings.quarantine.count());
        metrics->count("cranberrydock_quarantines_total", "");
        vm.avoid_until = now.steady + settings.quarantine;
        vm.failed_jobs.clear();
    }
}

void scheduler::state::apply_completion(job_record& job, step_state& step,
                                        const task_completion& completion,
                                        const clock_reading& now) {
    auto& task = step.tasks[static_cast<std::size_t>(completion.task.index)];
    task.last_run = std::max(task.last_run, completion.run);
    const bool ended_by_itself =
        completion.kind == completion_kind::done || completion.kind == completion_kind::failed;
    if (ended_by_itself && task.crashes.suspected()) {
        task.crashes.clear();
        crashes_changed(job, completion.task, task);
    }
    const bool is_broken =
        completion.kind == completion_kind::gang_broken ||
        (step.spec->gang && completion.kind == completion_kind::stopped && !is_final(job.state));
    if (is_broken && task.crashes.nearly_given_up()) {
        // It was started, and might have crashed its VM as well if its gang had gone on.
        task.crashes.add_loss();
        crashes_changed(job, completion.task, task);
        crashing_tasks.insert(completion.task);
    }
    if (completion.kind == completion_kind::done && !step.spec->long_running) {
        task_done(job, completion.task, step, now);
    } else if (completion.kind == completion_kind::failed) {
        task_failed(job, completion.task, step, completion.run, now);
    }
    if (step.spec->gang && !step.finished() && !is_final(job.state)) {
        stop_step({completion.task.job, completion.task.occurrence, completion.task.step}, step,
                  "gang_broken");
    }
    if (task.done && task.vm != nullptr) {
        // Another run of the task is still placed.
        if (step.spec->gang) {
            stop_newer_members(step, completion);
        } else if (placed_run* const other = run_of(task, completion.task)) {
            request_stop(*task.vm, *other, "already_done");
        }
    }
}

// Stops the members of a gang's runs that were started later than the one that is done.
void scheduler::state::stop_newer_members(step_state& step, const task_completion& completion) {
    task_ref member = completion.task;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        member.index = static_cast<int>(i);
        placed_run* const run = run_of(step.tasks[i], member);
        if (run != nullptr && run->run > completion.run) {
            request_stop(*step.tasks[i].vm, *run, "already_done");
        }
    }
}

void scheduler::state::release_held_completions(const vm_id& id, const job_id& job,
                                                std::uint64_t change) {
    if (vm_record* const vm = find_vm(id)) {
        for (auto& it : vm->unsaved) {
            if (it.of_unknown_job && it.job == job) {
                it.of_unknown_job = false;
                it.change = change;
            }
        }
    }
}

void scheduler::state::apply_held_completions(const job_id& id, const clock_reading& now) {
    const auto found = held_completions.find(id);
    if (found == held_completions.end()) {
        return;
    }
    const auto completions = std::move(found->second);
    held_completions.erase(found);
    for (const auto& it : completions) {
        open_up_to(it.completion.task);
        job_record* job = nullptr;
        step_state* const step = find_step(it.completion.task, &job);
        const bool counts = step != nullptr && !is_final(job->state);
        spdlog::info("event=held_end_counted vm={} task={} run={} kind={} counts={}", it.vm.str(),
                     to_string(it.completion.task), it.completion.run.value(),
                     to_string(it.completion.kind), counts);
        if (counts) {
            apply_completion(*job, *step, it.completion, now);
        }
        release_held_completions(it.vm, id, job == nullptr ? 0 : job->change);
    }
}

void scheduler::jobs_read_as_of(base::time_point read_at) {
    for (auto it = state_->held_completions.begin(); it != state_->held_completions.end();) {
        auto& completions = it->second;
        const bool job_has_ended =
            std::all_of(completions.begin(), completions.end(),
                        [&](const auto& held) { return held.received_at < read_at; });
        if (!job_has_ended) {
            ++it;
            continue;
        }
        for (const auto& held : completions) {
            state_->release_held_completions(held.vm, it->first, 0);
        }
        it = state_->held_completions.erase(it);
    }
}

completion_number scheduler::last_completion(const vm_id& id) const {
    const vm_record* const vm = state_->find_vm(id);
    return vm == nullptr ? completion_number(0) : vm->last_completion;
}

completion_number scheduler::acknowledgeable_completion(const vm_id& id) const {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return completion_number(0);
    }
    while (!vm->unsaved.empty()) {
        const auto& first = vm->unsaved.front();
        const auto job = state_->jobs.find(first.job);
        const bool unsaved = job != state_->jobs.end() && job->second->saved < first.change;
        if (unsaved || first.of_unknown_job) {
            return completion_number(first.number.value() - 1);
        }
        vm->unsaved.pop_front();
    }
    return vm->last_completion;
}

}  // namespace cranberrydock::fleet
