#include <cranberrydock/fleet/load_estimate.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace cranberrydock::fleet {
namespace {

constexpr double ms_per_second = 1'000;
constexpr double typical_job_weight = 0.2;  // of the newest sample
// More urgent arrivals are assumed to leave at least this share of the starts to a queue.
constexpr double min_rate_share = 0.2;
// Waits below this, and below this share of the wait with which a job meets its objective, are no
// evidence of an overload.
constexpr milliseconds max_evidence_wait{1'000};
constexpr double evidence_share = 0.5;
// A queue accepts jobs again at this share of the wait with which a job meets its objective, and
// once the late work would start within this time.
constexpr double reopening_share = 0.5;
constexpr double max_late_wait_ms = 400;
// Until entries have received that a queue accepts jobs again.
constexpr milliseconds publication_delay{800};

milliseconds to_ms(double value) {
    constexpr double longest_ms = 3'600'000;
    return milliseconds(static_cast<milliseconds::rep>(std::min(value, longest_ms)));
}

double ms_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace

std::int64_t service_load::all_started_tasks() const {
    return std::accumulate(started_tasks.begin(), started_tasks.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& it) { return sum + it.second; });
}

// The work that is placed before a new job of a queue.
struct load_estimate::ahead {
    waiting_work in_time;  // while the new job can meet its objective
    waiting_work late;     // of the same or higher urgency
    waiting_work all;      // once the new job is late
    milliseconds mean_age{0};
};

load_estimate::ahead load_estimate::work_ahead(const queue_load& load,
                                               const load_sample& sample) const {
    ahead out;
    double age_ms = 0;
    double tasks = 0;
    for (const auto& it : sample.queues) {
        const queue_load& other = it.second;
        if (other.service != load.service) {
            continue;
        }
        out.all += other.in_time;
        if (other.urgency <= load.urgency) {
            out.in_time += other.in_time;
            out.all += other.late;
            out.late += other.late;
        }
        if (other.urgency == load.urgency) {
            const double n = other.in_time.tasks + other.late.tasks;
            age_ms += n * static_cast<double>(other.mean_age.count());
            tasks += n;
        }
    }
    out.mean_age = to_ms(tasks > 0 ? age_ms / tasks : 0);
    return out;
}

const load_estimate::measured& load_estimate::sample_before(base::time_point now,
                                                            base::duration window) const {
    return *std::find_if(samples_.begin(), samples_.end(),
                         [&](const auto& it) { return now - it.at <= window; });
}

expected_service load_estimate::estimate(const queue_name& name, const queue_load& load,
                                         const load_sample& sample, base::time_point now) const {
    expected_service out;
    const auto typical = typical_.find(name);
    const auto service = sample.services.find(load.service);
    if (typical == typical_.end() || service == sample.services.end()) {
        return out;
    }
    const ahead work = work_ahead(load, sample);
    const double objective_ms = typical->second.objective_ms;
    const double in_time_wait_ms = std::max(0.0, objective_ms - typical->second.run_ms);
    const double allowed_ms =
        std::max(0.0, settings_.late_factor * objective_ms - typical->second.run_ms);
    out.allowed_wait = to_ms(allowed_ms);
    out.oldest_age = load.oldest_age;
    out.waiting_tasks = work.in_time.tasks;

    // Work has waited for the whole of the window, so the rates show what is possible.
    const base::duration window =
        std::clamp<base::duration>(work.mean_age * 2, settings_.min_window, settings_.max_window);
    const measured& before = sample_before(now, window);
    const double elapsed_ms = ms_between(before.at, now);
    const auto earlier = before.load.services.find(load.service);
    if (elapsed_ms < static_cast<double>(settings_.min_window.count()) / 2 ||
        earlier == before.load.services.end()) {
        return out;
    }
    const auto rate = [&](std::int64_t to, std::int64_t from) {
        return static_cast<double>(to - from) / elapsed_ms;
    };
    const double starts =
        rate(service->second.all_started_tasks(), earlier->second.all_started_tasks());
    const double released =
        rate(service->second.released_millicores, earlier->second.released_millicores);
    out.starts_per_second = starts * ms_per_second;

    // The mean wait of the jobs of the same urgency that started within the longest window.
    const measured& wait_before = sample_before(now, settings_.max_window);
    std::int64_t first_starts = 0;
    milliseconds total_wait{0};
    for (const auto& it : sample.queues) {
        const bool counts = it.second.service == load.service && it.second.urgency == load.urgency;
        const auto old = wait_before.load.queues.find(it.first);
        if (counts) {
            const bool is_new = old == wait_before.load.queues.end();
            first_starts += it.second.first_starts - (is_new ? 0 : old->second.first_starts);
            total_wait += it.second.total_start_wait -
                          (is_new ? milliseconds{0} : old->second.total_start_wait);
        }
    }
    if (first_starts > 0) {
        out.start_wait = total_wait / first_starts;
    }

    // More urgent work that arrives meanwhile is placed before the new job as well.
    const measured& long_before = sample_before(now, settings_.arrival_window);
    const auto long_earlier = long_before.load.services.find(load.service);
    double urgent_starts = 0;
    if (long_earlier != long_before.load.services.end()) {
        const auto until = service->second.started_tasks.lower_bound(load.urgency);
        for (auto it = service->second.started_tasks.begin(); it != until; ++it) {
            const auto old = long_earlier->second.started_tasks.find(it->first);
            const bool is_new = old == long_earlier->second.started_tasks.end();
            urgent_starts += static_cast<double>(it->second - (is_new ? 0 : old->second)) /
                             std::max(1.0, ms_between(long_before.at, now));
        }
    }
    const double share =
        starts <= 0 ? 1.0 : std::clamp(1 - urgent_starts / starts, min_rate_share, 1.0);

    const auto free = static_cast<double>(service->second.free_millicores);
    const auto wait_for = [&](const waiting_work& waiting, double rate_share) {
        const double for_starts = starts > 0 ? waiting.tasks / (starts * rate_share) : 0;
        const double missing = std::max(0.0, waiting.millicores - free);
        const double for_cores = released > 0 ? missing / (released * rate_share) : 0;
        return std::max(for_starts, for_cores);
    };
    const bool has_room = work.in_time.millicores < free;
    const auto known = queues_.find(name);
    const bool refused = known != queues_.end() && known->second.refuses();
    if (starts > 0) {
        const double arrivals = rate(service->second.arrived_tasks, earlier->second.arrived_tasks);
        double wait_ms = wait_for(work.in_time, share);
        // A decision applies to jobs that arrive later, when entries have received it.
        const double growth = refused ? 0.0 : std::max(0.0, arrivals / starts - 1);
        wait_ms += growth * static_cast<double>(publication_delay.count());
        if (wait_ms > in_time_wait_ms) {
            // The new job would become late, and be placed after all work that arrives meanwhile.
            const double late_share = std::clamp(1 - arrivals / starts, min_rate_share, 1.0);
            wait_ms = std::max(wait_ms, wait_for(work.all, refused ? 1.0 : late_share));
        }
        out.wait = to_ms(wait_ms);
    } else if (!has_room && work.in_time.tasks > 0) {
        // Nothing has started for a known time.
        const auto last = last_starts_.find(load.service);
        out.wait = to_ms(last == last_starts_.end() ? 0 : ms_between(last->second, now));
    } else if (work.in_time.tasks <= 0) {
        out.wait = milliseconds{0};
    }
    if (!out.wait) {
        return out;
    }
    const auto wait_ms = static_cast<double>(out.wait->count());
    const double evidence_ms =
        std::max(static_cast<double>(out.start_wait.value_or(milliseconds{0}).count()),
                 has_room ? 0.0 : 2.0 * static_cast<double>(work.mean_age.count()));
    const bool is_proven = evidence_ms >= std::min(static_cast<double>(max_evidence_wait.count()),
                                                   in_time_wait_ms * evidence_share);
    // Late work is served after all work that is in time. A queue that accepted jobs again before
    // would leave it without its value.
    const double late_wait_ms = wait_for(work.late, 1.0);
    const double reopening_ms = in_time_wait_ms * reopening_share;
    // The wait includes work that arrives at the present rate: callers that all came back as soon
    // as the present backlog has gone would bring about the next overload.
    const double retry_ms =
        late_wait_ms > max_late_wait_ms ? wait_for(work.all, 1.0) : wait_ms - reopening_ms;
    const bool stays_refused = wait_ms > reopening_ms || late_wait_ms > max_late_wait_ms;
    if (refused ? stays_refused : wait_ms > allowed_ms && is_proven) {
        out.retry_after = std::clamp(to_ms(std::max(0.0, retry_ms)) + publication_delay / 2,
                                     settings_.min_retry_after, settings_.max_retry_after);
    }
    return out;
}

void load_estimate::update(const load_sample& sample, base::time_point now) {
    for (const auto& it : sample.queues) {
        if (!it.second.objective) {
            continue;
        }
        const auto objective_ms = static_cast<double>(it.second.objective->count());
        const auto run_ms = static_cast<double>(it.second.run_time.count());
        const auto inserted = typical_.insert({it.first, {objective_ms, run_ms}});
        typical_job& typical = inserted.first->second;
        typical.objective_ms += (objective_ms - typical.objective_ms) * typical_job_weight;
        typical.run_ms += (run_ms - typical.run_ms) * typical_job_weight;
    }
    while (!samples_.empty() && now - samples_.front().at > settings_.arrival_window) {
        samples_.pop_front();
    }
    static const load_sample no_sample;
    const load_sample& previous = samples_.empty() ? no_sample : samples_.back().load;
    for (const auto& it : sample.services) {
        const auto started = it.second.all_started_tasks();
        const auto earlier = previous.services.find(it.first);
        if (earlier == previous.services.end() || earlier->second.all_started_tasks() != started) {
            last_starts_[it.first] = now;
        }
    }
    samples_.push_back({now, sample});
    std::map<queue_name, expected_service> queues;
    for (const auto& it : sample.queues) {
        queues[it.first] = estimate(it.first, it.second, sample, now);
    }
    queues_ = std::move(queues);
    updated_at_ = now;
}

void load_estimate::starts_not_possible(base::time_point now) {
    samples_.clear();
    last_starts_.clear();
    if (now - updated_at_ > settings_.max_age) {
        queues_.clear();
    }
}

std::map<queue_name, milliseconds> load_estimate::overloaded() const {
    std::map<queue_name, milliseconds> out;
    for (const auto& it : queues_) {
        if (it.second.refuses()) {
            out[it.first] = it.second.retry_after;
        }
    }
    return out;
}

double load_estimate::starts_per_second() const {
    if (samples_.size() < 2) {
        return 0;
    }
    const measured& before = sample_before(samples_.back().at, settings_.max_window);
    const auto count = [](const load_sample& sample) {
        return std::accumulate(
            sample.services.begin(), sample.services.end(), std::int64_t{0},
            [](std::int64_t sum, const auto& it) { return sum + it.second.all_started_tasks(); });
    };
    const double elapsed_ms = ms_between(before.at, samples_.back().at);
    return elapsed_ms <= 0 ? 0
                           : static_cast<double>(count(samples_.back().load) - count(before.load)) /
                                 elapsed_ms * ms_per_second;
}

std::string to_log_text(const std::map<queue_name, expected_service>& queues,
                        std::size_t max_queues) {
    std::vector<const std::pair<const queue_name, expected_service>*> shown;
    for (const auto& it : queues) {
        if (it.second.waiting_tasks > 0 || it.second.refuses()) {
            shown.push_back(&it);
        }
    }
    std::stable_sort(shown.begin(), shown.end(), [](const auto* a, const auto* b) {
        return a->second.wait.value_or(milliseconds{0}) > b->second.wait.value_or(milliseconds{0});
    });
    shown.resize(std::min(shown.size(), max_queues));
    std::string out;
    for (const auto* it : shown) {
        out += out.empty() ? "" : ",";
        out += it->first.str() + ":" +
               (it->second.wait ? std::to_string(it->second.wait->count()) : "unknown") + "/" +
               std::to_string(it->second.allowed_wait.count()) + "/" +
               std::to_string(it->second.retry_after.count());
    }
    return out;
}

}  // namespace cranberrydock::fleet
