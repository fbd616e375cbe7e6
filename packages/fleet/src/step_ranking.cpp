// Ranks the open steps. Steps whose job can still meet its objective come first, then late ones,
// then those whose result has no more value. Within each of these tiers, steps are ordered by the
// queue's urgency and then by the latest time at which they can start and still meet the objective.
// It handles two cases of overload: bursts, and a customer that submits many times its share.
#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step;

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

// Drops the steps that have no tasks to start. The loss of a run opens its step again.
void scheduler::state::drop_closed_steps() {
    const auto closed = [](detail::open_step_entry& it) {
        const auto& tasks = it.step->tasks;
        it.step->open = !is_final(it.job->state) &&
                        std::any_of(tasks.begin(), tasks.end(),
                                    [](const auto& t) { return !t.done && t.vm == nullptr; });
        return !it.step->open;
    };
    open.erase(std::remove_if(open.begin(), open.end(), closed), open.end());
}

// Determines the step's tier, its urgency and its latest start.
open_step scheduler::state::rank(const detail::open_step_entry& entry, const clock_reading& now) {
    open_step out;
    job_record& job = *entry.job;
    out.ref = &entry.ref;
    out.job = &job;
    out.step = entry.step;
    out.terms = &job.terms();
    out.advice = job.query_cost ? &*job.query_cost : nullptr;
    const queue_terms& terms = *out.terms;
    const auto& path_times = critical_paths_of(job, now);
    const auto remaining = path_times[static_cast<std::size_t>(entry.ref.step)];
    const auto total_time = *std::max_element(path_times.begin(), path_times.end());
    const auto nominal_start =
        job.spec.occurrences == 0
            ? job.spec.accepted.value()
            : job.spec.first_start.value() + entry.ref.occurrence * job.spec.period.count();
    const milliseconds age(now.wall.value() - nominal_start);
    const milliseconds objective =
        terms.target_latency + milliseconds(static_cast<milliseconds::rep>(
                                   terms.slack_factor * static_cast<double>(total_time.count())));
    // A long-running job that has started serves its users, who are without it now.
    const bool interrupted = entry.step->spec->long_running && job.started;
    out.urgency = interrupted ? interrupted_urgency : terms.urgency;
    out.start_by = now.steady + (objective - age - remaining);
    const auto late_limit = milliseconds(static_cast<milliseconds::rep>(
        settings.late_factor * static_cast<double>(objective.count())));
    if (entry.step->spec->long_running || age + remaining <= objective) {
        out.tier = job.over_share && !interrupted ? tier_late : tier_in_time;
    } else {
        out.tier = age + remaining <= late_limit && !job.over_share ? tier_late : tier_worthless;
    }
    return out;
}

// Returns the most urgent steps, and a sample of the remaining ones if the backlog is long. Without
// the sample, steps that wait for their customer's limit or for particular VMs could block others.
std::vector<open_step> scheduler::state::ranked_steps(const clock_reading& now) {
    const auto goes_before = [](const open_step& a, const open_step& b) {
        if (a.tier != b.tier) {
            return a.tier < b.tier;
        }
        return a.urgency != b.urgency ? a.urgency < b.urgency : a.start_by < b.start_by;
    };
    std::vector<open_step> out;
    out.reserve(open.size());
    for (const auto& it : open) {
        if (!it.job->inherited || inherited_known) {
            out.push_back(rank(it, now));
        }
    }
    if (out.size() > max_most_urgent + max_sampled) {
        const auto first_sampled = out.begin() + max_most_urgent;
        std::nth_element(out.begin(), first_sampled, out.end(), goes_before);
        const std::size_t less_urgent_count = out.size() - max_most_urgent;
        next_sample_offset %= less_urgent_count;
        std::rotate(first_sampled, first_sampled + static_cast<std::ptrdiff_t>(next_sample_offset),
                    out.end());
        next_sample_offset += max_sampled;
        out.resize(max_most_urgent + max_sampled);
    }
    std::sort(out.begin(), out.end(), goes_before);
    return out;
}

}  // namespace cranberrydock::fleet
