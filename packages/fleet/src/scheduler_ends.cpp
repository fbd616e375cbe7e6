// Ends of tasks, as VMs list them: what they mean for their jobs, and which of them a VM may
// forget.
#include "scheduler_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::placed_run;
using detail::step_state;
using detail::vm_record;

namespace {

constexpr std::size_t failed_jobs_to_quarantine = 2;

}  // namespace

void scheduler::state::handle_end(vm_record& vm, const task_end& end, const moment& now) {
    open_found(end.task);
    job_record* job = nullptr;
    step_state* const step = find_step(end.task, &job);
    placed_run* const run = find_run(vm, end.task, end.run);
    if (run != nullptr && end.kind == end_kind::done && run->confirmed && step != nullptr &&
        !step->spec->long_running) {
        history[job->spec.queue].task_took(
            std::chrono::duration_cast<milliseconds>(now.steady - run->ordered));
    }
    if (run != nullptr) {
        if (!end.saved.empty()) {
            run->saved = end.saved;
        }
        release(vm, end.task);
    }
    metrics->count("cranberrydock_task_ends_total",
                   std::string("kind=\"") + to_string(end.kind) + "\"");
    if (end.kind == end_kind::gang_incomplete) {
        spdlog::warn("event=gang_incomplete task={} run={} vm={} known={}", to_string(end.task),
                     end.run.value(), vm.facts.id.str(), run != nullptr);
    }
    if (job == nullptr && ended.count(end.task.job) == 0) {
        // The feed of the jobs may be behind the VM. Its task must not start again then.
        held_ends[end.task.job].push_back({vm.facts.id, end, now.steady});
        vm.unsaved.push_back({end.number, end.task.job, 0, true});
        return;
    }
    if (step != nullptr && !is_final(job->state)) {
        count_end(*job, *step, end, now);
        if (end.kind == end_kind::failed) {
            note_failure(vm, end.task.job, now);
        } else if (end.kind == end_kind::done && !step->spec->long_running) {
            vm.failed_jobs.clear();
        }
    }
    vm.unsaved.push_back({end.number, end.task.job, job == nullptr ? 0 : job->change, false});
}

void scheduler::state::note_failure(vm_record& vm, const job_id& job, const moment& now) {
    vm.failed_jobs.insert(job);
    if (vm.failed_jobs.size() >= failed_jobs_to_quarantine) {
        spdlog::info("event=vm_quarantined vm={} failed_jobs={} for_ms={}", vm.facts.id.str(),
                     vm.failed_jobs.size(), settings.quarantine.count());
        metrics->count("cranberrydock_quarantines_total", "");
        vm.avoid_until = now.steady + settings.quarantine;
        vm.failed_jobs.clear();
    }
}

void scheduler::state::count_end(job_record& job, step_state& step, const task_end& end,
                                 const moment& now) {
    auto& task = step.tasks[static_cast<std::size_t>(end.task.index)];
    task.last_run = std::max(task.last_run, end.run);
    if (end.kind == end_kind::done && !step.spec->long_running) {
        task_done(job, end.task, step, now);
    } else if (end.kind == end_kind::failed) {
        task_failed(job, end.task, step, end.run, now);
    }
    if (step.spec->gang && !step.finished() && !is_final(job.state)) {
        stop_step({end.task.job, end.task.occurrence, end.task.step}, step, "gang_broken");
    }
    if (task.done && task.vm != nullptr) {
        // Another run of a task that is done.
        const auto other = task.vm->runs.find(end.task);
        if (other != task.vm->runs.end() && !step.spec->gang) {
            want_stop(*task.vm, other->second, "already_done");
        }
    }
}

void scheduler::state::release_held(const vm_id& id, const job_id& job, std::uint64_t change) {
    if (vm_record* const vm = find_vm(id)) {
        for (auto& it : vm->unsaved) {
            if (it.of_unknown_job && it.job == job) {
                it.of_unknown_job = false;
                it.change = change;
            }
        }
    }
}

void scheduler::state::count_held_ends(const job_id& id, const moment& now) {
    const auto held = held_ends.find(id);
    if (held == held_ends.end()) {
        return;
    }
    const auto ends = std::move(held->second);
    held_ends.erase(held);
    for (const auto& it : ends) {
        open_found(it.end.task);
        job_record* job = nullptr;
        step_state* const step = find_step(it.end.task, &job);
        const bool counts = step != nullptr && !is_final(job->state);
        spdlog::info("event=held_end_counted vm={} task={} run={} kind={} counts={}", it.vm.str(),
                     to_string(it.end.task), it.end.run.value(), to_string(it.end.kind), counts);
        if (counts) {
            count_end(*job, *step, it.end, now);
        }
        release_held(it.vm, id, job == nullptr ? 0 : job->change);
    }
}

void scheduler::jobs_known_as_of(base::time_point moment_read) {
    for (auto it = state_->held_ends.begin(); it != state_->held_ends.end();) {
        auto& ends = it->second;
        const bool known_to_be_gone = std::all_of(
            ends.begin(), ends.end(), [&](const auto& end) { return end.heard < moment_read; });
        if (!known_to_be_gone) {
            ++it;
            continue;
        }
        for (const auto& end : ends) {
            state_->release_held(end.vm, it->first, 0);
        }
        it = state_->held_ends.erase(it);
    }
}

end_number scheduler::last_end(const vm_id& id) const {
    const vm_record* const vm = state_->find_vm(id);
    return vm == nullptr ? end_number(0) : vm->last_end;
}

end_number scheduler::acknowledgeable(const vm_id& id) const {
    vm_record* const vm = state_->find_vm(id);
    if (vm == nullptr) {
        return end_number(0);
    }
    while (!vm->unsaved.empty()) {
        const auto& first = vm->unsaved.front();
        const auto job = state_->jobs.find(first.job);
        const bool unsaved = job != state_->jobs.end() && job->second->saved < first.change;
        if (unsaved || first.of_unknown_job) {
            return end_number(first.number.value() - 1);
        }
        vm->unsaved.pop_front();
    }
    return vm->last_end;
}

}  // namespace cranberrydock::fleet
