// The scheduler's public interface, except for the events that are handled in the other files.
#include <cranberrydock/fleet/scheduler.hpp>

#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

scheduler::scheduler(fencing_token owner, const scheduler_settings& settings,
                     base::metrics& metrics)
    : state_(std::make_unique<state>(owner, settings, metrics)) {}

scheduler::~scheduler() = default;

void scheduler::configure(std::shared_ptr<const fleet_configuration> configuration) {
    state_->configuration = std::move(configuration);
    state_->queues.clear();
    state_->shortest_query = milliseconds::max();
    for (const auto& it : state_->configuration->queues) {
        state_->queues[it.name] = &it;
        if (it.query_cost) {
            state_->shortest_query = std::min(
                state_->shortest_query, detail::cost_of(*it.query_cost, detail::min_vms_per_query));
        }
    }
    for (const auto& it : state_->jobs) {
        it.second->queue = state_->find_queue(it.second->spec.queue);
    }
}

void scheduler::reserve_for_unlisted_vms(const resources& capacity) {
    state_->unlisted_use = capacity;
}

void scheduler::inherited_runs_reported(const clock_reading& /*now*/) {
    state_->inherited_known = true;
    // A gang that is incomplete now cannot become complete, so its members are stopped.
    for (auto& it : state_->jobs) {
        for (auto& occurrence : it.second->occurrences) {
            for (std::size_t i = 0; i < occurrence.second.size(); ++i) {
                auto& step = occurrence.second[i];
                const auto running =
                    std::count_if(step.tasks.begin(), step.tasks.end(),
                                  [](const auto& task) { return task.vm != nullptr; });
                if (step.spec->gang && running > 0 &&
                    running + step.done_count < static_cast<int>(step.tasks.size())) {
                    state_->stop_step({it.first, occurrence.first, static_cast<int>(i)}, step,
                                      "gang_incomplete_at_takeover");
                }
            }
        }
    }
}

void scheduler::hold_starts(bool held) {
    state_->starts_held = held;
}

decisions scheduler::decide(const clock_reading& now, const query_budget& budget) {
    decisions out;
    state_->drop_closed_steps();  // before their jobs are forgotten
    state_->forget_ended_jobs();
    state_->open_due_occurrences(now);
    if (!state_->starts_held) {
        state_->place_open_steps(now, budget, out);
        state_->retry_starts(out);
    }
    state_->stop_late_gangs(now);
    state_->issue_stops(now, out);
    return out;
}

std::optional<base::time_point> scheduler::next_wakeup(const clock_reading& now) const {
    std::optional<base::time_point> out;
    const auto consider = [&](base::time_point wakeup) {
        if (wakeup > now.steady && (!out || wakeup < *out)) {
            out = wakeup;
        }
    };
    for (const auto& it : state_->vms) {
        consider(it.second->avoid_until);
    }
    for (const auto& id : state_->timed_jobs) {
        const auto it = state_->jobs.find(id);
        if (it != state_->jobs.end()) {
            const auto& job = *it->second;
            const auto due_in_ms = job.spec.first_start.value() +
                                   job.next_occurrence * job.spec.period.count() - now.wall.value();
            consider(now.steady + milliseconds(due_in_ms));
        }
    }
    return out;
}

void scheduler::forget(const job_id& job) {
    state_->ended.erase(job);
}

std::optional<scheduler::job_summary> scheduler::status_of(const job_id& job) const {
    const auto it = state_->jobs.find(job);
    if (it == state_->jobs.end()) {
        return std::nullopt;
    }
    const detail::job_record& record = *it->second;
    if (is_final(record.state)) {
        return job_summary{record.spec.customer, record.spec.queue, record.state};
    }
    return job_summary{record.spec.customer, record.spec.queue,
                       record.started ? job_state::active : job_state::queued};
}

std::size_t scheduler::job_count() const {
    return state_->jobs.size();
}

std::size_t scheduler::run_count() const {
    std::size_t out = 0;
    for (const auto& it : state_->vms) {
        out += it.second->runs.size();
    }
    return out;
}

resources scheduler::capacity() const {
    resources out;
    for (const auto& it : state_->vms) {
        if (it.second->reported && !it.second->facts.leaving) {
            out += it.second->facts.capacity;
        }
    }
    return out;
}

resources scheduler::in_use() const {
    resources out;
    for (const auto& it : state_->vms) {
        out += it.second->used;
    }
    return out;
}

std::map<queue_name, std::int64_t> scheduler::jobs_not_started() const {
    return state_->jobs_not_started;
}

}  // namespace cranberrydock::fleet
