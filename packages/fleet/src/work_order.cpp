// The order of work: what can still meet its objective goes before what is late, and what is late
// before what is worth nothing any more; within that by the queue's urgency, then by the latest
// moment at which the step can start and still be in time. Answers overload: bursts and one
// customer sending many times its share.
#include "scheduler_state.hpp"

#include <algorithm>

namespace cranberrydock::fleet {

using detail::job_record;
using detail::open_step;

namespace {

// Expected time of the longest chain of steps from each step on, itself included.
std::vector<milliseconds> reckon_chains(const job_spec& job, const detail::queue_history& history) {
    std::vector<milliseconds> out(job.steps.size(), milliseconds{0});
    for (std::size_t i = job.steps.size(); i-- > 0;) {
        out[i] += history.expected(job.steps[i].estimate);
        for (const int before : job.steps[i].after) {
            auto& longest = out[static_cast<std::size_t>(before)];
            longest = std::max(longest, out[i]);
        }
    }
    return out;
}

// What is expected of a queue's tasks changes slowly.
constexpr milliseconds chains_last{500};

// Looking at work costs time in which nothing else is done.
constexpr std::size_t most_urgent_looked_at = 300;
constexpr std::size_t most_sampled = 100;

constexpr int urgency_of_interrupted = -1;  // before each queue's
constexpr int tier_in_time = 0;
constexpr int tier_late = 1;
constexpr int tier_worthless = 2;

}  // namespace

const std::vector<milliseconds>& scheduler::state::chains_of(job_record& job, const moment& now) {
    if (job.chains.empty() || now.steady - job.chains_at > chains_last) {
        job.chains = reckon_chains(job.spec, history[job.spec.queue]);
        job.chains_at = now.steady;
    }
    return job.chains;
}

// Forgets the steps that have nothing to start; they are opened again when a run of theirs is lost.
void scheduler::state::drop_closed_steps() {
    const auto closed = [](detail::open_place& it) {
        const auto& tasks = it.step->tasks;
        it.step->open = !is_final(it.job->state) &&
                        std::any_of(tasks.begin(), tasks.end(),
                                    [](const auto& t) { return !t.done && t.vm == nullptr; });
        return !it.step->open;
    };
    open.erase(std::remove_if(open.begin(), open.end(), closed), open.end());
}

// How urgent the step is, and whether its job can still be in time.
open_step scheduler::state::judge(const detail::open_place& place, const moment& now) {
    open_step out;
    job_record& job = *place.job;
    out.where = &place.where;
    out.job = &job;
    out.step = place.step;
    out.terms = &job.terms();
    out.advice = job.queue == nullptr || !job.queue->advice ? nullptr : &*job.queue->advice;
    const queue_terms& terms = *out.terms;
    const auto& chain = chains_of(job, now);
    const auto rest = chain[static_cast<std::size_t>(place.where.step)];
    const auto whole = *std::max_element(chain.begin(), chain.end());
    const auto begun =
        job.spec.occurrences == 0
            ? job.spec.accepted.value()
            : job.spec.first_due.value() + place.where.occurrence * job.spec.period.count();
    const milliseconds age(now.wall.value() - begun);
    const milliseconds objective =
        terms.target_latency + milliseconds(static_cast<milliseconds::rep>(
                                   terms.slack_factor * static_cast<double>(whole.count())));
    // Lasting work that has begun serves somebody, who is without it now.
    const bool interrupted = place.step->spec->long_running && job.started;
    out.urgency = interrupted ? urgency_of_interrupted : terms.urgency;
    out.start_by = now.steady + (objective - age - rest);
    const auto late_end = milliseconds(static_cast<milliseconds::rep>(
        settings.late_factor * static_cast<double>(objective.count())));
    if (place.step->spec->long_running || age + rest <= objective) {
        out.tier = job.over_share && !interrupted ? tier_late : tier_in_time;
    } else {
        out.tier = age + rest <= late_end && !job.over_share ? tier_late : tier_worthless;
    }
    return out;
}

// The most urgent work, and of a long backlog a sample behind it: work that is waiting for its
// customer's limit or for VMs of its own must not hold up all the rest.
std::vector<open_step> scheduler::state::work_in_order(const moment& now) {
    const auto first_of = [](const open_step& a, const open_step& b) {
        if (a.tier != b.tier) {
            return a.tier < b.tier;
        }
        return a.urgency != b.urgency ? a.urgency < b.urgency : a.start_by < b.start_by;
    };
    std::vector<open_step> out;
    out.reserve(open.size());
    for (const auto& it : open) {
        if (!it.job->inherited || inherited_known) {
            out.push_back(judge(it, now));
        }
    }
    if (out.size() > most_urgent_looked_at + most_sampled) {
        const auto rest = out.begin() + most_urgent_looked_at;
        std::nth_element(out.begin(), rest, out.end(), first_of);
        const std::size_t left = out.size() - most_urgent_looked_at;
        next_sample %= left;
        std::rotate(rest, rest + static_cast<std::ptrdiff_t>(next_sample), out.end());
        next_sample += most_sampled;
        out.resize(most_urgent_looked_at + most_sampled);
    }
    std::sort(out.begin(), out.end(), first_of);
    return out;
}

}  // namespace cranberrydock::fleet
