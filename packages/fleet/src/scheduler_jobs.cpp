// Jobs: their steps and occurrences, what is done and what has failed, and what has to be saved.
#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::step_state;
using detail::task_state;

namespace {

// Fills in what an earlier owner has saved of one step.
void restore(step_state& step, const step_progress& saved) {
    const auto n = std::min(step.tasks.size(), saved.done.size());
    for (std::size_t i = 0; i < n; ++i) {
        step.tasks[i].done = saved.done[i];
        step.tasks[i].failed_runs = saved.failed_runs[i];
        step.done_count += saved.done[i] ? 1 : 0;
    }
}

step_progress progress_of(const step_state& step) {
    step_progress out;
    for (const auto& it : step.tasks) {
        out.done.push_back(it.done);
        out.failed_runs.push_back(it.failed_runs);
    }
    return out;
}

bool all_finished(const std::vector<step_state>& steps) {
    return std::all_of(steps.begin(), steps.end(), [](const auto& it) { return it.finished(); });
}

}  // namespace

void scheduler::state::note_change(job_record& job) {
    ++job.change;
    dirty.insert(job.spec.id);
}

const queue_config* scheduler::state::find_queue(const queue_name& name) const {
    const auto it = queues.find(name);
    return it == queues.end() ? nullptr : it->second;
}

void scheduler::state::note_open(const step_ref& where, job_record& job, step_state& step) {
    if (!step.open) {
        step.open = true;
        open.push_back({where, &job, &step});
    }
}

void scheduler::state::add_occurrence(job_record& job, int occurrence) {
    auto& steps = job.occurrences[occurrence];
    if (!steps.empty()) {
        return;
    }
    steps.resize(job.spec.steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
        steps[i].spec = &job.spec.steps[i];
        steps[i].tasks.resize(static_cast<std::size_t>(job.spec.steps[i].task_count));
        if (job.inherited) {
            // An earlier owner may have used the numbers below.
            const run_number base_run(
                static_cast<std::int32_t>(owner.value() * settings.runs_per_fence));
            for (auto& it : steps[i].tasks) {
                it.last_run = base_run;
            }
        }
    }
}

// Puts the steps whose predecessors are done among the open ones.
void scheduler::state::open_steps(job_record& job, int occurrence) {
    auto& steps = job.occurrences[occurrence];
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto& after = steps[i].spec->after;
        const bool ready = std::all_of(after.begin(), after.end(), [&](int it) {
            return steps[static_cast<std::size_t>(it)].finished();
        });
        if (ready && !steps[i].finished()) {
            note_open({job.spec.id, occurrence, static_cast<int>(i)}, job, steps[i]);
        }
    }
}

void scheduler::state::open_next(job_record& job) {
    add_occurrence(job, job.next_occurrence);
    open_steps(job, job.next_occurrence);
    ++job.next_occurrence;
}

// A VM tells of a task: an earlier owner has opened its occurrence, and need not have saved that.
void scheduler::state::open_found(const task_ref& task) {
    const auto it = jobs.find(task.job);
    if (it == jobs.end() || !it->second->inherited || is_final(it->second->state)) {
        return;
    }
    job_record& job = *it->second;
    while (job.next_occurrence <= task.occurrence && job.next_occurrence < job.spec.occurrences) {
        open_next(job);
    }
}

// Opens the occurrences whose time has come.
void scheduler::state::open_due(const moment& now) {
    for (auto id = timed.begin(); id != timed.end();) {
        const auto found = jobs.find(*id);
        if (found == jobs.end() || is_final(found->second->state)) {
            id = timed.erase(id);
            continue;
        }
        job_record& job = *found->second;
        while (job.next_occurrence < job.spec.occurrences) {
            const auto due =
                job.spec.first_due.value() + job.next_occurrence * job.spec.period.count();
            if (due + settings.due_slack.count() > now.wall.value()) {
                break;
            }
            open_next(job);
        }
        id = job.next_occurrence >= job.spec.occurrences ? timed.erase(id) : std::next(id);
    }
}

void scheduler::job_submitted(const job_spec& spec, const job_progress* progress, bool inherited,
                              const moment& now) {
    if (state_->jobs.count(spec.id) > 0 || state_->ended.count(spec.id) > 0) {
        return;
    }
    auto& job = *state_->jobs.emplace(spec.id, std::make_unique<job_record>()).first->second;
    job.spec = spec;
    job.queue = state_->find_queue(spec.queue);
    job.inherited = inherited;
    const auto customer = state_->configuration->customers.find(spec.customer);
    if (customer != state_->configuration->customers.end()) {
        auto& bucket = state_->entitlements[spec.customer];
        const double rate = customer->second.share;
        const double idle_s = std::chrono::duration<double>(now.steady - bucket.filled).count();
        bucket.tokens = std::min(rate, bucket.tokens + idle_s * rate);
        bucket.filled = now.steady;
        job.over_share = bucket.tokens < 1;
        bucket.tokens -= job.over_share ? 0 : 1;
    }
    if (spec.occurrences == 0) {
        job.next_occurrence = 1;
        state_->add_occurrence(job, 0);
    } else {
        state_->timed.insert(spec.id);
    }
    if (progress != nullptr) {
        job.started = progress->state != job_state::queued;
        job.state = progress->state;
        for (std::size_t k = 0; k < progress->occurrences.size(); ++k) {
            const int occurrence = static_cast<int>(k);
            state_->add_occurrence(job, occurrence);
            auto& steps = job.occurrences[occurrence];
            const auto n = std::min(steps.size(), progress->occurrences[k].size());
            for (std::size_t i = 0; i < n; ++i) {
                restore(steps[i], progress->occurrences[k][i]);
            }
            job.next_occurrence = std::max(job.next_occurrence, occurrence + 1);
        }
    }
    for (auto& it : job.occurrences) {
        state_->open_steps(job, it.first);
    }
    state_->claim_unknown_runs(spec.id);
    state_->count_held_ends(spec.id, now);
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
                                 const moment& now) {
    const auto finish = [&step](task_state& one) {
        step.done_count += one.done ? 0 : 1;
        one.done = true;
    };
    if (step.spec->gang) {
        // One member's end stands for all of them.
        std::for_each(step.tasks.begin(), step.tasks.end(), finish);
    } else {
        finish(step.tasks[static_cast<std::size_t>(task.index)]);
    }
    note_change(job);
    if (!step.finished()) {
        return;
    }
    open_steps(job, task.occurrence);
    const bool last_occurrence =
        job.spec.occurrences == 0 || job.next_occurrence >= job.spec.occurrences;
    if (last_occurrence && std::all_of(job.occurrences.begin(), job.occurrences.end(),
                                       [](const auto& it) { return all_finished(it.second); })) {
        finish_job(job, job_state::complete, now);
    }
}

void scheduler::state::task_failed(job_record& job, const task_ref& task, step_state& step,
                                   run_number run, const moment& now) {
    auto& one = step.tasks[static_cast<std::size_t>(task.index)];
    const bool counted =
        std::find(one.failed_runs.begin(), one.failed_runs.end(), run) != one.failed_runs.end();
    if (one.done || counted) {
        return;
    }
    const auto fail = [run](task_state& it) { it.failed_runs.push_back(run); };
    if (step.spec->gang) {
        // A gang fails as one, however many of its members say so.
        std::for_each(step.tasks.begin(), step.tasks.end(), fail);
    } else {
        fail(one);
    }
    note_change(job);
    metrics->count("cranberrydock_task_failures_total", "");
    if (!step.spec->long_running &&
        static_cast<int>(one.failed_runs.size()) >= job.terms().max_attempts) {
        finish_job(job, job_state::failed, now);
    }
}

void scheduler::state::finish_job(job_record& job, job_state end, const moment& now) {
    if (is_final(job.state)) {
        return;
    }
    job.state = end;
    job.ended = now.wall;
    ended.insert(job.spec.id);
    note_change(job);
    stop_runs_of(job, end == job_state::complete    ? "job_complete"
                      : end == job_state::cancelled ? "job_cancelled"
                                                    : "job_failed");
}

void scheduler::state::stop_runs_of(job_record& job, const std::string& reason) {
    for (auto& occurrence : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.second.size(); ++i) {
            const step_ref where{job.spec.id, occurrence.first, static_cast<int>(i)};
            auto& step = occurrence.second[i];
            // The members of a gang that is done end by themselves.
            if (!(step.spec->gang && step.finished())) {
                stop_step(where, step, reason);
            }
        }
    }
}

void scheduler::state::stop_step(const step_ref& where, step_state& step,
                                 const std::string& reason) {
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        detail::vm_record* const vm = step.tasks[i].vm;
        if (vm == nullptr) {
            continue;
        }
        const auto run =
            vm->runs.find({where.job, where.occurrence, where.step, static_cast<int>(i)});
        if (run != vm->runs.end()) {
            want_stop(*vm, run->second, reason);
        }
    }
}

void scheduler::job_cancelled(const job_id& job, const moment& now) {
    const auto it = state_->jobs.find(job);
    if (it != state_->jobs.end()) {
        state_->finish_job(*it->second, job_state::cancelled, now);
    }
}

std::vector<scheduler::unsaved_job> scheduler::take_unsaved(const moment& /*now*/) {
    std::vector<unsaved_job> out;
    for (const auto& id : state_->dirty) {
        const auto it = state_->jobs.find(id);
        if (it == state_->jobs.end()) {
            continue;
        }
        job_record& job = *it->second;
        job.taken = job.change;
        unsaved_job one{id, job.change, {}};
        one.progress.customer = job.spec.customer;
        one.progress.queue = job.spec.queue;
        one.progress.state = job.state;
        one.progress.ended = job.ended;
        if (!is_final(job.state)) {
            one.progress.state = job.started ? job_state::active : job_state::queued;
            for (const auto& occurrence : job.occurrences) {
                std::vector<step_progress> steps;
                for (const auto& step : occurrence.second) {
                    steps.push_back(progress_of(step));
                }
                one.progress.occurrences.push_back(std::move(steps));
            }
        }
        out.push_back(std::move(one));
    }
    state_->dirty.clear();
    return out;
}

void scheduler::progress_saved(const job_id& id, std::uint64_t change) {
    const auto it = state_->jobs.find(id);
    if (it == state_->jobs.end()) {
        return;
    }
    job_record& job = *it->second;
    job.saved = std::max(job.saved, change);
    if (is_final(job.state)) {
        state_->ending.insert(id);
    }
}

// Forgets the final jobs that are saved and have no run on any VM's books.
void scheduler::state::forget_ended() {
    for (auto id = ending.begin(); id != ending.end();) {
        const auto it = jobs.find(*id);
        if (it == jobs.end()) {
            id = ending.erase(id);
        } else if (it->second->saved >= it->second->change && it->second->placed_runs == 0) {
            jobs.erase(it);
            id = ending.erase(id);
        } else {
            ++id;
        }
    }
}

}  // namespace cranberrydock::fleet
