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
        state_->update_queue(*it.second);
    }
    state_->open.rank_all_again();
}

void scheduler::reserve_for_unlisted_vms(const resources& capacity) {
    state_->unlisted_use = capacity;
}

void scheduler::inherited_runs_reported(const clock_reading& /*now*/,
                                        std::optional<base::time_point> latest_run_end) {
    state_->inherited_known = true;
    state_->latest_inherited_run_end = latest_run_end;
    state_->open.rank_put_off_steps();
    state_->count_unseen_runs();
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
    if (state_->last_decision == base::time_point{}) {
        state_->first_decision = now.steady;
        state_->open.for_each(
            [&](detail::open_step_entry& it) { it.step->waits_since = now.steady; });
    }
    if (state_->last_decision != base::time_point{}) {
        state_->observed_vm_time +=
            std::chrono::duration_cast<milliseconds>(now.steady - state_->last_decision) *
            static_cast<std::int64_t>(state_->vms.size());
    }
    state_->last_decision = now.steady;
    state_->forget_ended_jobs();
    state_->open_due_occurrences(now);
    state_->update_probations(now);
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

const char* to_string(wait_reason reason) {
    switch (reason) {
        case wait_reason::not_considered:
            return "not_considered";
        case wait_reason::inherited_runs:
            return "inherited_runs";
        case wait_reason::gang_ending:
            return "gang_ending";
        case wait_reason::customer_limit:
            return "customer_limit";
        case wait_reason::no_room:
            return "no_room";
        case wait_reason::lookahead:
            return "lookahead";
        case wait_reason::no_free_advisor:
            return "no_free_advisor";
        case wait_reason::query_open:
            return "query_open";
        case wait_reason::query_sent:
            return "query_sent";
        case wait_reason::probation:
            return "probation";
        case wait_reason::progress_rejected:
            return "progress_rejected";
        case wait_reason::pending_starts:
            return "pending_starts";
    }
    return "unknown";
}

// Whether two tasks of the step fit into the free capacity of usable VMs.
bool scheduler::state::has_room_twice(const detail::open_step_entry& entry,
                                      const clock_reading& now) const {
    detail::open_step work;
    work.step = entry.step;
    work.terms = &entry.job->terms();
    const resources& need = entry.step->spec->need;
    int places = 0;
    for (const detail::vm_record* const vm : vms_by_number) {
        if (vm == nullptr || !usable(*vm, now) || !may_run(*vm, work)) {
            continue;
        }
        resources room = vm->free();
        for (; places < 2 && fits(need, room); ++places) {
            room -= need;
        }
        if (places == 2) {
            return true;
        }
    }
    return false;
}

std::vector<overdue_step> scheduler::overdue_steps(const clock_reading& now, milliseconds min_wait,
                                                   std::size_t max_examined,
                                                   std::size_t max_count) {
    std::vector<overdue_step> out;
    for (const detail::open_step_entry* const it : state_->open.next_opened(max_examined)) {
        if (out.size() >= max_count) {
            break;
        }
        const auto& entry = *it;
        const auto& step = *entry.step;
        const auto waiting =
            std::find_if(step.tasks.begin(), step.tasks.end(),
                         [](const auto& task) { return !task.done && task.vm == nullptr; });
        if (now.steady - step.waits_since < min_wait || waiting == step.tasks.end() ||
            is_final(entry.job->state) || !state_->has_room_twice(entry, now)) {
            continue;
        }
        overdue_step found;
        found.step = entry.ref;
        found.queue = entry.job->spec.queue;
        found.customer = entry.job->spec.customer;
        found.first_task = static_cast<int>(waiting - step.tasks.begin());
        found.waited = std::chrono::duration_cast<milliseconds>(now.steady - step.waits_since);
        found.reason = entry.job->inherited && !state_->inherited_known
                           ? wait_reason::inherited_runs
                           : step.waits_for;
        found.considered_before = std::chrono::duration_cast<milliseconds>(
            now.steady - std::max(step.considered_at, step.waits_since));
        for (const auto& granted : step.grants) {
            ++(now.steady < granted.second.until ? found.valid_grants : found.expired_grants);
        }
        found.denied = step.not_granted.size();
        found.need = step.spec->need;
        found.headroom = state_->customer_headroom(found.customer);
        out.push_back(std::move(found));
    }
    return out;
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
