// Jobs: their steps and occurrences, done and failed tasks, and the progress that has to be saved.
#include "scheduler_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::step_state;
using detail::task_state;

namespace {

// Bounds of what one job takes of an owner's memory, and of its progress row.
constexpr std::int64_t max_open_tasks_per_job = max_tasks_per_job;
constexpr std::size_t max_open_occurrences_per_job = 4'096;

// Restores the progress of the step's tasks from `first` on that a previous owner has saved.
void restore_tasks(step_state& step, std::size_t first, const step_progress& saved) {
    for (std::size_t i = 0; i < saved.done.size() && first + i < step.tasks.size(); ++i) {
        task_state& task = step.tasks[first + i];
        step.done_count += saved.done[i] && !task.done ? 1 : 0;
        task.done |= saved.done[i];
        if (i < saved.crashes.size()) {
            task.crashes = saved.crashes[i];
        }
        if (!step.spec->long_running) {
            task.failed_runs = saved.failed_runs[i];
        }
    }
}

step_progress progress_of(const step_state& step, std::size_t first, std::size_t count) {
    step_progress out;
    for (std::size_t i = first; i < step.tasks.size() && i < first + count; ++i) {
        const task_state& it = step.tasks[i];
        out.done.push_back(it.done);
        out.failed_runs.push_back(it.failed_runs);
        out.crashes.push_back(it.crashes);
    }
    return out;
}

bool all_finished(const std::vector<step_state>& steps) {
    return std::all_of(steps.begin(), steps.end(), [](const auto& it) { return it.finished(); });
}

// Progress of the occurrences that are not finished, and marks of those that are.
void add_occurrences(job_record& job, job_progress& out) {
    const auto unfinished = [&job](int occurrence) {
        const auto it = job.occurrences.find(occurrence);
        return it != job.occurrences.end() && !all_finished(it->second);
    };
    while (job.finished_before < job.next_occurrence && !unfinished(job.finished_before)) {
        ++job.finished_before;
    }
    out.finished_before = job.finished_before;
    out.occurrences.resize(static_cast<std::size_t>(job.next_occurrence - job.finished_before));
    for (auto it = job.occurrences.lower_bound(job.finished_before); it != job.occurrences.end();
         ++it) {
        if (all_finished(it->second)) {
            continue;
        }
        auto& steps = out.occurrences[static_cast<std::size_t>(it->first - job.finished_before)];
        for (const auto& step : it->second) {
            steps.push_back(job.in_blocks ? step_progress{}
                                          : progress_of(step, 0, step.tasks.size()));
        }
    }
}

void add_changed_blocks(job_record& job, job_progress& out) {
    for (const auto& it : job.changed_blocks) {
        const auto occurrence = job.occurrences.find(it.occurrence);
        if (occurrence != job.occurrences.end() && !out.is_finished(it.occurrence)) {
            const auto& step = occurrence->second.at(static_cast<std::size_t>(it.step));
            out.blocks[it] =
                progress_of(step, static_cast<std::size_t>(it.first_task), tasks_per_block);
        }
    }
    job.changed_blocks.clear();
}

}  // namespace

void scheduler::state::mark_changed(job_record& job) {
    ++job.change;
    dirty_jobs.insert(job.spec.id);
}

void scheduler::state::mark_changed(job_record& job, const task_ref& task) {
    if (job.in_blocks) {
        job.changed_blocks.insert(block_of(task));
    }
    mark_changed(job);
}

void scheduler::state::mark_step_changed(job_record& job, const task_ref& task,
                                         const step_state& step) {
    task_ref it = task;
    for (it.index = 0; it.index < static_cast<int>(step.tasks.size());
         it.index += tasks_per_block) {
        mark_changed(job, it);
    }
}

void scheduler::state::mark_started(job_record& job) {
    remove_from_not_started(job);
    job.started = true;
    mark_changed(job);
}

void scheduler::state::remove_from_not_started(const job_record& job) {
    if (job.started || is_final(job.state)) {
        return;
    }
    const auto it = jobs_not_started.find(job.spec.queue);
    if (--it->second == 0) {
        jobs_not_started.erase(it);
    }
}

const queue_config* scheduler::state::find_queue(const queue_name& name) const {
    const auto it = queues.find(name);
    return it == queues.end() ? nullptr : it->second;
}

void scheduler::state::update_queue(job_record& job) const {
    job.queue = find_queue(job.spec.queue);
    if (job.queue != nullptr) {
        job.query_cost = job.queue->query_cost;
    }
}

void scheduler::state::mark_open(const step_ref& ref, job_record& job, step_state& step) {
    if (open.open(ref, job, step)) {
        step.opened_at = last_decision;
        step.waits_since = last_decision;
        step.waits_for = wait_reason::not_considered;
    }
}

void scheduler::state::add_occurrence(job_record& job, int occurrence) {
    auto& steps = job.occurrences[occurrence];
    if (!steps.empty()) {
        return;  // the addresses of open steps are in use
    }
    steps.resize(job.spec.steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
        steps[i].spec = &job.spec.steps[i];
        steps[i].tasks.resize(static_cast<std::size_t>(job.spec.steps[i].task_count));
        if (job.inherited) {
            // A previous owner may have used lower run numbers.
            const run_number first_run(
                static_cast<std::int32_t>(owner.value() * settings.runs_per_fencing_token));
            for (auto& it : steps[i].tasks) {
                it.last_run = first_run;
            }
        }
    }
}

// Opens the unfinished steps whose predecessors are done.
void scheduler::state::open_ready_steps(job_record& job, int occurrence) {
    auto& steps = job.occurrences[occurrence];
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto& after = steps[i].spec->after;
        const bool ready = std::all_of(after.begin(), after.end(), [&](int it) {
            return steps[static_cast<std::size_t>(it)].finished();
        });
        if (ready && !steps[i].finished()) {
            mark_open({job.spec.id, occurrence, static_cast<int>(i)}, job, steps[i]);
            count_arrival(job, steps[i]);
        }
    }
}

void scheduler::state::open_next_occurrence(job_record& job) {
    add_occurrence(job, job.next_occurrence);
    open_ready_steps(job, job.next_occurrence);
    ++job.next_occurrence;
}

// Opens the occurrences up to the one of a task that a VM has reported. A previous owner has opened
// it, but may not have saved that.
void scheduler::state::open_up_to(const task_ref& task) {
    const auto it = jobs.find(task.job);
    if (it == jobs.end() || !it->second->inherited || is_final(it->second->state)) {
        return;
    }
    job_record& job = *it->second;
    while (job.next_occurrence <= task.occurrence && job.next_occurrence < job.spec.occurrences) {
        open_next_occurrence(job);
    }
}

// Whether the tasks of one more occurrence have room beside those of earlier ones that are not
// finished. Otherwise it waits for these.
bool scheduler::state::may_open_next_occurrence(job_record& job) {
    const std::int64_t tasks = task_count_of(job.spec);
    std::int64_t open_tasks = 0;
    std::size_t open_occurrences = 0;
    for (auto it = job.occurrences.lower_bound(job.finished_before); it != job.occurrences.end();
         ++it) {
        if (!all_finished(it->second)) {
            open_tasks += tasks;
            ++open_occurrences;
        }
    }
    const bool has_room =
        open_occurrences == 0 || (open_occurrences < max_open_occurrences_per_job &&
                                  open_tasks + tasks <= max_open_tasks_per_job);
    if (job.occurrence_held == has_room) {
        job.occurrence_held = !has_room;
        metrics->count("cranberrydock_occurrences_held_total", "");
        spdlog::warn(
            "event=occurrence_held job={} occurrence={} held={} open_occurrences={} open_tasks={} "
            "max_open_tasks={}",
            job.spec.id.str(), job.next_occurrence, !has_room, open_occurrences, open_tasks,
            max_open_tasks_per_job);
    }
    return has_room;
}

// Opens the occurrences whose due time has passed.
void scheduler::state::open_due_occurrences(const clock_reading& now) {
    for (auto id = timed_jobs.begin(); id != timed_jobs.end();) {
        const auto found = jobs.find(*id);
        if (found == jobs.end() || is_final(found->second->state)) {
            id = timed_jobs.erase(id);
            continue;
        }
        job_record& job = *found->second;
        while (job.next_occurrence < job.spec.occurrences) {
            const auto due_ms =
                job.spec.first_start.value() + job.next_occurrence * job.spec.period.count();
            if (due_ms + settings.due_delay.count() > now.wall.value() ||
                !may_open_next_occurrence(job)) {
                break;
            }
            open_next_occurrence(job);
        }
        id = job.next_occurrence >= job.spec.occurrences ? timed_jobs.erase(id) : std::next(id);
    }
}

void scheduler::state::restore(job_record& job, const job_progress& progress) {
    int restored = 0;
    job.started = progress.state != job_state::queued;
    job.state = progress.state;
    job.finished_before = progress.finished_before;
    job.next_occurrence = std::max(job.next_occurrence, progress.finished_before);
    for (const auto& saved : progress.occurrences) {
        const int occurrence = job.finished_before + restored++;
        job.next_occurrence = std::max(job.next_occurrence, occurrence + 1);
        if (saved.empty()) {
            continue;
        }
        add_occurrence(job, occurrence);
        auto& steps = job.occurrences[occurrence];
        const auto n = std::min(steps.size(), saved.size());
        for (std::size_t i = 0; i < n; ++i) {
            restore_tasks(steps[i], 0, saved[i]);
            if (job.in_blocks && !saved[i].done.empty()) {
                // Written before the job was stored in blocks. The next write of the row drops it.
                mark_step_changed(job, {job.spec.id, occurrence, static_cast<int>(i), 0}, steps[i]);
            }
        }
    }
    if (!job.in_blocks && !progress.blocks.empty()) {
        mark_changed(job);
    }
    for (const auto& saved : progress.blocks) {
        const block_ref& block = saved.first;
        const bool exists = block.occurrence < std::max(1, job.spec.occurrences) &&
                            block.step < static_cast<int>(job.spec.steps.size());
        if (!exists || progress.is_finished(block.occurrence)) {
            continue;
        }
        // Blocks are written before the row that shows their occurrence.
        while (job.next_occurrence <= block.occurrence) {
            open_next_occurrence(job);
        }
        auto& step = job.occurrences[block.occurrence].at(static_cast<std::size_t>(block.step));
        restore_tasks(step, static_cast<std::size_t>(block.first_task), saved.second);
    }
}

void scheduler::add_job(const job_spec& spec, const job_progress* progress, bool inherited,
                        const clock_reading& now) {
    if (state_->jobs.count(spec.id) > 0 || state_->ended.count(spec.id) > 0) {
        return;
    }
    auto& job = *state_->jobs.emplace(spec.id, std::make_unique<job_record>()).first->second;
    job.spec = spec;
    state_->update_queue(job);
    job.inherited = inherited;
    const auto customer = state_->configuration->customers.find(spec.customer);
    if (customer != state_->configuration->customers.end()) {
        auto& bucket = state_->entitlements[spec.customer];
        const double rate = customer->second.share;
        const double idle_s =
            std::chrono::duration<double>(now.steady - bucket.last_refill).count();
        bucket.tokens = std::min(rate, bucket.tokens + idle_s * rate);
        bucket.last_refill = now.steady;
        job.over_share = bucket.tokens < 1;
        bucket.tokens -= job.over_share ? 0 : 1;
    }
    if (spec.occurrences == 0) {
        job.next_occurrence = 1;
        state_->add_occurrence(job, 0);
    } else {
        state_->timed_jobs.insert(spec.id);
    }
    const auto largest_row = largest_progress_bytes(spec);
    job.in_blocks = !largest_row || *largest_row > state_->settings.max_progress_row_bytes;
    if (progress != nullptr) {
        state_->restore(job, *progress);
    }
    if (!job.started && !is_final(job.state)) {
        ++state_->jobs_not_started[spec.queue];
    }
    for (auto& it : job.occurrences) {
        state_->open_ready_steps(job, it.first);
    }
    state_->find_unresolved(job, now);
    state_->assign_unknown_runs(spec.id);
    state_->apply_held_completions(spec.id, now);
}

step_state* scheduler::state::find_step(const task_ref& task, job_record** job) {
    const auto it = jobs.find(task.job);
    if (it == jobs.end()) {
        return nullptr;
    }
    *job = it->second.get();
    const auto occurrence = it->second->occurrences.find(task.occurrence);
    if (occurrence == it->second->occurrences.end() || task.step < 0 ||
        task.step >= static_cast<int>(occurrence->second.size())) {
        return nullptr;
    }
    auto& step = occurrence->second[static_cast<std::size_t>(task.step)];
    const bool known = task.index >= 0 && task.index < static_cast<int>(step.tasks.size());
    return known ? &step : nullptr;
}

void scheduler::state::task_done(job_record& job, const task_ref& task, step_state& step,
                                 const clock_reading& now) {
    const auto finish = [&step](task_state& done_task) {
        step.done_count += done_task.done ? 0 : 1;
        done_task.done = true;
        done_task.previous.reset();
    };
    if (step.spec->gang) {
        // A gang is done once one of its members is.
        std::for_each(step.tasks.begin(), step.tasks.end(), finish);
    } else {
        finish(step.tasks[static_cast<std::size_t>(task.index)]);
    }
    if (step.spec->gang) {
        mark_step_changed(job, task, step);
    } else {
        mark_changed(job, task);
    }
    if (!step.finished()) {
        return;
    }
    open_ready_steps(job, task.occurrence);
    const bool last_occurrence =
        job.spec.occurrences == 0 || job.next_occurrence >= job.spec.occurrences;
    if (last_occurrence && std::all_of(job.occurrences.begin(), job.occurrences.end(),
                                       [](const auto& it) { return all_finished(it.second); })) {
        finish_job(job, job_state::complete, now);
    }
}

void scheduler::state::task_failed(job_record& job, const task_ref& task, step_state& step,
                                   run_number run, const clock_reading& now) {
    auto& failed_task = step.tasks[static_cast<std::size_t>(task.index)];
    if (step.spec->long_running) {
        // Restarted however often it fails, so there is nothing to save.
        metrics->count("cranberrydock_task_failures_total", "");
        return;
    }
    const bool counted = std::find(failed_task.failed_runs.begin(), failed_task.failed_runs.end(),
                                   run) != failed_task.failed_runs.end();
    if (failed_task.done || counted) {
        return;
    }
    const auto fail = [run](task_state& it) { it.failed_runs.push_back(run); };
    if (step.spec->gang) {
        // A gang fails as a whole, however many of its members report a failure.
        std::for_each(step.tasks.begin(), step.tasks.end(), fail);
        mark_step_changed(job, task, step);
    } else {
        fail(failed_task);
        mark_changed(job, task);
    }
    metrics->count("cranberrydock_task_failures_total", "");
    if (static_cast<int>(failed_task.failed_runs.size()) >= job.terms().max_attempts) {
        finish_job(job, job_state::failed, now);
    }
}

void scheduler::state::finish_job(job_record& job, job_state final_state,
                                  const clock_reading& now) {
    if (is_final(job.state)) {
        return;
    }
    remove_from_not_started(job);
    job.state = final_state;
    job.ended = now.wall;
    ended.insert(job.spec.id);
    mark_changed(job);
    stop_runs_of(job, final_state == job_state::complete    ? "job_complete"
                      : final_state == job_state::cancelled ? "job_cancelled"
                                                            : "job_failed");
}

void scheduler::state::stop_runs_of(job_record& job, const std::string& reason) {
    for (auto& occurrence : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.second.size(); ++i) {
            const step_ref ref{job.spec.id, occurrence.first, static_cast<int>(i)};
            auto& step = occurrence.second[i];
            // The members of a finished gang end without a stop command.
            if (!(step.spec->gang && step.finished())) {
                stop_step(ref, step, reason);
            }
        }
    }
}

void scheduler::state::stop_step(const step_ref& ref, step_state& step, const std::string& reason) {
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        detail::vm_record* const vm = step.tasks[i].vm;
        if (vm == nullptr) {
            continue;
        }
        const auto run = vm->runs.find({ref.job, ref.occurrence, ref.step, static_cast<int>(i)});
        if (run != vm->runs.end()) {
            request_stop(*vm, run->second, reason);
        }
    }
}

void scheduler::cancel_job(const job_id& job, const clock_reading& now) {
    const auto it = state_->jobs.find(job);
    if (it != state_->jobs.end()) {
        state_->finish_job(*it->second, job_state::cancelled, now);
    }
}

std::vector<scheduler::unsaved_job> scheduler::take_unsaved_jobs(const clock_reading& /*now*/) {
    std::vector<unsaved_job> out;
    for (const auto& id : state_->dirty_jobs) {
        const auto it = state_->jobs.find(id);
        if (it == state_->jobs.end()) {
            continue;
        }
        job_record& job = *it->second;
        job.last_taken_change = job.change;
        unsaved_job unsaved{id, job.change, {}};
        unsaved.progress.customer = job.spec.customer;
        unsaved.progress.queue = job.spec.queue;
        unsaved.progress.state = job.state;
        unsaved.progress.ended = job.ended;
        if (!is_final(job.state)) {
            unsaved.progress.state = job.started ? job_state::active : job_state::queued;
            unsaved.progress.in_blocks = job.in_blocks;
            add_occurrences(job, unsaved.progress);
            add_changed_blocks(job, unsaved.progress);
        }
        out.push_back(std::move(unsaved));
    }
    state_->dirty_jobs.clear();
    return out;
}

void scheduler::progress_saved(const job_id& id, std::uint64_t change) {
    const auto it = state_->jobs.find(id);
    if (it == state_->jobs.end()) {
        return;
    }
    job_record& job = *it->second;
    job.saved = std::max(job.saved, change);
    job.progress_rejected = false;
    if (is_final(job.state)) {
        state_->jobs_to_forget.insert(id);
    }
}

void scheduler::progress_rejected(const job_id& id) {
    const auto it = state_->jobs.find(id);
    if (it != state_->jobs.end()) {
        it->second->progress_rejected = true;
    }
}

// Removes the jobs whose final state is saved and that have no runs on any VM.
void scheduler::state::forget_ended_jobs() {
    for (auto id = jobs_to_forget.begin(); id != jobs_to_forget.end();) {
        const auto it = jobs.find(*id);
        if (it == jobs.end()) {
            id = jobs_to_forget.erase(id);
        } else if (it->second->saved >= it->second->change && it->second->placed_runs == 0) {
            for (const auto& occurrence : it->second->occurrences) {
                for (const auto& step : occurrence.second) {
                    open.close(step);
                }
            }
            jobs.erase(it);
            id = jobs_to_forget.erase(id);
        } else {
            ++id;
        }
    }
}

}  // namespace cranberrydock::fleet
