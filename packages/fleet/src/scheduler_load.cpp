// The figures from which load_estimate derives expected waits: the waiting work of each queue, and
// for each service the free capacity, the confirmed starts and the cores that runs have released.
#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step_entry;

namespace {

// Bounds the cost of one sample of the load.
constexpr std::size_t max_sampled_steps = 1'000;

std::int64_t nominal_start_of(const job_record& job, int occurrence) {
    return job.spec.occurrences == 0
               ? job.spec.accepted.value()
               : job.spec.first_start.value() + occurrence * job.spec.period.count();
}

// The waiting work of one customer in one queue.
struct customer_backlog {
    waiting_work in_time;
    waiting_work late;
};

// The sums behind the means of a queue.
struct queue_sums {
    double steps = 0;
    double age_ms = 0;
    double objective_ms = 0;
    double run_ms = 0;
};

}  // namespace

void scheduler::state::count_arrival(const job_record& job, const detail::step_state& step) {
    if (!job.over_share) {
        service_counters[job.terms().service].arrived_tasks +=
            std::count_if(step.tasks.begin(), step.tasks.end(),
                          [](const auto& it) { return !it.done && it.vm == nullptr; });
    }
}

void scheduler::state::count_start(const detail::vm_record& vm, const task_ref& task,
                                   const clock_reading& now) {
    job_record* job = nullptr;
    if (find_step(task, &job) == nullptr) {
        return;
    }
    ++service_counters[vm.facts.service].started_tasks[job->terms().urgency];
    if (!job->start_counted && !job->started && !job->inherited) {
        job->start_counted = true;
        queue_load& counters = queue_counters[job->spec.queue];
        ++counters.first_starts;
        counters.total_start_wait +=
            std::max(milliseconds{0},
                     milliseconds(now.wall.value() - nominal_start_of(*job, task.occurrence)));
    }
}

void scheduler::state::count_release(const detail::vm_record& vm, const detail::placed_run& run) {
    if (run.confirmed_at && !run.unknown) {
        service_counters[vm.facts.service].released_millicores += run.need.cores.value();
    }
}

// Adds the work within the customers' shares that waits and has not lost its value.
void scheduler::state::add_waiting_work(load_sample& out, const clock_reading& now) {
    const std::size_t stride =
        std::max<std::size_t>(1, (open.size() + max_sampled_steps - 1) / max_sampled_steps);
    std::map<std::pair<queue_name, customer_name>, customer_backlog> backlogs;
    std::map<queue_name, queue_sums> sums;
    for (const open_step_entry* const it : open.sample(stride)) {
        const open_step_entry& entry = *it;
        const auto waiting =
            std::count_if(entry.step->tasks.begin(), entry.step->tasks.end(),
                          [](const auto& task) { return !task.done && task.vm == nullptr; });
        if (waiting == 0 || is_final(entry.job->state)) {
            continue;
        }
        job_record& job = *entry.job;
        const queue_terms& terms = job.terms();
        const auto& paths = critical_paths_of(job, now);
        const auto total_time = *std::max_element(paths.begin(), paths.end());
        const auto remaining = paths[static_cast<std::size_t>(entry.ref.step)];
        const double objective_ms = static_cast<double>(terms.target_latency.count()) +
                                    terms.slack_factor * static_cast<double>(total_time.count());
        const milliseconds age(now.wall.value() - nominal_start_of(job, entry.ref.occurrence));
        const bool has_value =
            static_cast<double>((age + remaining).count()) <= settings.late_factor * objective_ms;
        if (job.over_share || !has_value) {
            continue;
        }
        const bool is_late = rank_of(entry, now).start_by < now.wall;
        waiting_work added{static_cast<double>(waiting),
                           static_cast<double>(waiting * entry.step->spec->need.cores.value())};
        added *= static_cast<double>(stride);
        customer_backlog& backlog = backlogs[{job.spec.queue, job.spec.customer}];
        (is_late ? backlog.late : backlog.in_time) += added;
        queue_load& load = out.queues[job.spec.queue];
        load.service = terms.service;
        load.urgency = terms.urgency;
        if (entry.step->spec->long_running) {
            continue;  // its age says nothing about the value of other jobs
        }
        if (!is_late) {
            load.oldest_age = std::max(load.oldest_age, age);
        }
        queue_sums& sum = sums[job.spec.queue];
        sum.steps += 1;
        sum.age_ms += static_cast<double>(age.count());
        sum.objective_ms += objective_ms;
        sum.run_ms += static_cast<double>(total_time.count());
    }
    for (auto& it : backlogs) {
        // Work beyond its customer's limit is not placed before other work.
        const auto limits = configuration->customers.find(it.first.second);
        const auto limit = static_cast<double>(limits == configuration->customers.end()
                                                   ? 0
                                                   : limits->second.upper_limit.cores.value());
        const double cores = it.second.in_time.millicores + it.second.late.millicores;
        if (limit > 0 && cores > limit) {
            it.second.in_time *= limit / cores;
            it.second.late *= limit / cores;
        }
        out.queues[it.first.first].in_time += it.second.in_time;
        out.queues[it.first.first].late += it.second.late;
    }
    for (const auto& it : sums) {
        queue_load& load = out.queues[it.first];
        const auto mean = [&it](double sum) {
            return milliseconds(static_cast<milliseconds::rep>(sum / it.second.steps));
        };
        load.mean_age = mean(it.second.age_ms);
        load.objective = mean(it.second.objective_ms);
        load.run_time = mean(it.second.run_ms);
    }
}

load_sample scheduler::load(const clock_reading& now) const {
    load_sample out;
    out.services = state_->service_counters;
    for (const detail::vm_record* const vm : state_->vms_by_number) {
        if (vm != nullptr && state_->usable(*vm, now)) {
            out.services[vm->facts.service].free_millicores +=
                std::max<std::int64_t>(0, vm->free().cores.value());
        }
    }
    for (const auto& it : state_->queues) {
        queue_load& load = out.queues[it.first];
        load.service = it.second->terms.service;
        load.urgency = it.second->terms.urgency;
        const auto counters = state_->queue_counters.find(it.first);
        if (counters != state_->queue_counters.end()) {
            load.first_starts = counters->second.first_starts;
            load.total_start_wait = counters->second.total_start_wait;
        }
    }
    state_->add_waiting_work(out, now);
    return out;
}

}  // namespace cranberrydock::fleet
