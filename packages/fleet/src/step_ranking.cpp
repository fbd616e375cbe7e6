// Ranks the open steps. Steps whose job can still meet its objective come first, then late ones,
// then those whose result has no more value. Within each of these tiers, steps are ordered by the
// queue's urgency and then by the latest time at which they can start and still meet the objective.
// It handles two cases of overload: bursts, and a customer that submits many times its share.
#include "scheduler_state.hpp"

#include <algorithm>
#include <limits>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step;
using detail::step_rank;

namespace {

// For each step, the expected time of the critical path from its start to the job's completion.
std::vector<milliseconds> compute_critical_paths(const job_spec& job,
                                                 const detail::queue_history& history) {
    std::vector<milliseconds> out(job.steps.size(), milliseconds{0});
    for (std::size_t i = job.steps.size(); i-- > 0;) {
        out[i] += history.expected_run_time(job.steps[i].estimate);
        for (const int predecessor : job.steps[i].after) {
            auto& longest = out[static_cast<std::size_t>(predecessor)];
            longest = std::max(longest, out[i]);
        }
    }
    return out;
}

// Critical paths are recomputed after this time. Expected run times change slowly.
constexpr milliseconds critical_path_lifetime{500};

// Limits on the steps that one decision considers, since a decision blocks all other processing.
constexpr std::size_t max_most_urgent = 300;
constexpr std::size_t max_sampled = 100;

constexpr int interrupted_urgency = -1;  // ranks before the urgency of any queue
constexpr int tier_in_time = 0;
constexpr int tier_late = 1;
constexpr int tier_worthless = 2;

}  // namespace

const std::vector<milliseconds>& scheduler::state::critical_paths_of(job_record& job,
                                                                     const clock_reading& now) {
    if (job.critical_paths.empty() || now.steady - job.critical_paths_at > critical_path_lifetime) {
        job.critical_paths = compute_critical_paths(job.spec, history[job.spec.queue]);
        job.critical_paths_at = now.steady;
    }
    return job.critical_paths;
}

bool scheduler::state::has_waiting_tasks(const detail::open_step_entry& entry) {
    const auto& tasks = entry.step->tasks;
    return !is_final(entry.job->state) &&
           std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& it) { return !it.done && it.vm == nullptr; });
}

open_step scheduler::state::make_open_step(const detail::open_step_entry& entry) {
    open_step out;
    job_record& job = *entry.job;
    out.ref = &entry.ref;
    out.job = &job;
    out.step = entry.step;
    out.terms = &job.terms();
    out.advice = job.query_cost ? &*job.query_cost : nullptr;
    out.tier = entry.rank.tier;
    return out;
}

// Determines the step's tier, its urgency and its latest start.
step_rank scheduler::state::rank_of(const detail::open_step_entry& entry,
                                    const clock_reading& now) {
    job_record& job = *entry.job;
    const queue_terms& terms = job.terms();
    const auto& path_times = critical_paths_of(job, now);
    const auto remaining = path_times[static_cast<std::size_t>(entry.ref.step)];
    const auto total_time = *std::max_element(path_times.begin(), path_times.end());
    const auto nominal_start =
        job.spec.occurrences == 0
            ? job.spec.accepted.value()
            : job.spec.first_start.value() + entry.ref.occurrence * job.spec.period.count();
    const milliseconds objective =
        terms.target_latency + milliseconds(static_cast<milliseconds::rep>(
                                   terms.slack_factor * static_cast<double>(total_time.count())));
    const auto late_limit = milliseconds(static_cast<milliseconds::rep>(
        settings.late_factor * static_cast<double>(objective.count())));
    // A long-running job that has started serves its users, who are without it now.
    const bool interrupted = entry.step->spec->long_running && job.started;
    const auto no_end = unix_time(std::numeric_limits<std::int64_t>::max());
    step_rank out;
    out.urgency = interrupted ? interrupted_urgency : terms.urgency;
    out.start_by = unix_time(nominal_start + (objective - remaining).count());
    const unix_time late_until(nominal_start + (late_limit - remaining).count());
    if (entry.step->spec->long_running || now.wall <= out.start_by) {
        out.tier = job.over_share && !interrupted ? tier_late : tier_in_time;
        out.tier_until = entry.step->spec->long_running ? no_end : out.start_by;
    } else if (now.wall <= late_until && !job.over_share) {
        out.tier = tier_late;
        out.tier_until = late_until;
    } else {
        out.tier = tier_worthless;
        out.tier_until = no_end;
    }
    return out;
}

// Returns the most urgent steps, and a sample of the remaining ones if the backlog is long. Without
// the sample, steps that wait for their customer's limit or for particular VMs could block others.
std::vector<detail::open_step_entry*> scheduler::state::next_open_steps(const clock_reading& now) {
    for (detail::open_step_entry* const it : open.take_unranked(now.wall)) {
        if (!has_waiting_tasks(*it)) {
            open.close(*it->step);
        } else if (it->job->inherited && !inherited_known) {
            open.put_off(*it);
        } else {
            open.rank(*it, rank_of(*it, now), now.steady);
        }
    }
    auto out = open.next_steps(max_most_urgent, max_sampled);
    const auto is_closed = [&](detail::open_step_entry* it) {
        if (!has_waiting_tasks(*it)) {
            open.close(*it->step);
            return true;
        }
        if (now.steady - it->ranked_at > critical_path_lifetime) {
            open.rank(*it, rank_of(*it, now), now.steady);
        }
        return false;
    };
    out.erase(std::remove_if(out.begin(), out.end(), is_closed), out.end());
    return out;
}

}  // namespace cranberrydock::fleet
