// Estimates how long a new job of each queue would wait for its first start, and which queues
// cannot serve a new job in time. The class does no I/O and has no clock.
//
// A queue refuses new jobs once the expected wait and the run time exceed the time after which a
// job has no more value, and accepts them again once a new job would meet its objective. A queue
// is refused on evidence only: starts have been possible for the whole measured period, and there
// is no room for the waiting work or the jobs that started lately have waited long.
//
// Work beyond its customer's share does not count, since it is placed after all work within the
// shares: a customer that sends many times its share does not cause refusals for others. Neither
// does work that has lost its value, nor work beyond what its customer's upper limit lets run.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/work.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cranberrydock::fleet {

// Tasks that wait for a start, and the cores that they need.
struct waiting_work {
    double tasks = 0;
    double millicores = 0;

    waiting_work& operator+=(const waiting_work& other) {
        tasks += other.tasks;
        millicores += other.millicores;
        return *this;
    }
    waiting_work& operator*=(double factor) {
        tasks *= factor;
        millicores *= factor;
        return *this;
    }
};

struct queue_load {
    service_name service;
    int urgency = 0;
    waiting_work in_time;  // can still meet its objective
    waiting_work late;     // can't, but still has value
    milliseconds mean_age{0};
    milliseconds oldest_age{0};  // of the work that can still meet its objective
    // Means over the waiting jobs. Empty if none waits.
    std::optional<milliseconds> objective;
    milliseconds run_time{0};
    // Jobs of which a first task has started, and the sum of their waits, since the owner began.
    std::int64_t first_starts = 0;
    milliseconds total_start_wait{0};
};

// The VMs of one service. The counters run since the owner began.
struct service_load {
    std::int64_t free_millicores = 0;
    std::int64_t released_millicores = 0;
    std::int64_t arrived_tasks = 0;             // of work within the customers' shares
    std::map<int, std::int64_t> started_tasks;  // by urgency

    std::int64_t all_started_tasks() const;
};

struct load_sample {
    std::map<queue_name, queue_load> queues;
    std::map<service_name, service_load> services;
};

struct load_estimate_settings {
    double late_factor = 3.0;  // as in scheduler_settings
    // Rates are measured over this time at most. Nothing is refused before the minimum.
    milliseconds max_window{2'000};
    milliseconds min_window{500};
    // The rate of more urgent arrivals is measured over this time.
    milliseconds arrival_window{8'000};
    // An estimate that can't be renewed is kept for this long.
    milliseconds max_age{2'000};
    milliseconds min_retry_after{1'000};
    milliseconds max_retry_after{10'000};
};

// The estimate for one queue.
struct expected_service {
    std::optional<milliseconds> wait;        // of a new job; empty: not known
    milliseconds allowed_wait{0};            // a new job that waits longer has no value
    std::optional<milliseconds> start_wait;  // mean of the jobs that started lately
    milliseconds oldest_age{0};
    double waiting_tasks = 0;      // that would be placed before a new job
    double starts_per_second = 0;  // of the service
    milliseconds retry_after{0};   // 0: new jobs are accepted
    bool refuses() const { return retry_after.count() > 0; }
};

class load_estimate {
public:
    explicit load_estimate(const load_estimate_settings& settings = {}) : settings_(settings) {}

    // The scheduler's current load, in which starts are possible.
    void update(const load_sample& sample, base::time_point now);
    // Starts are not possible: the rates of this time say nothing.
    void starts_not_possible(base::time_point now);

    const std::map<queue_name, expected_service>& queues() const { return queues_; }
    // For each queue that cannot serve new jobs, the time after which it is expected to.
    std::map<queue_name, milliseconds> overloaded() const;
    // Started tasks per second, over all services.
    double starts_per_second() const;

private:
    struct measured {
        base::time_point at;
        load_sample load;
    };
    struct ahead;

    // The oldest sample that is no older than `window`.
    const measured& sample_before(base::time_point now, base::duration window) const;
    ahead work_ahead(const queue_load& load, const load_sample& sample) const;
    expected_service estimate(const queue_name& name, const queue_load& load,
                              const load_sample& sample, base::time_point now) const;

    load_estimate_settings settings_;
    std::deque<measured> samples_;  // of the last `arrival_window`, newest last
    std::map<queue_name, expected_service> queues_;
    // The objective and the run time of a typical job, also while none waits.
    struct typical_job {
        double objective_ms = 0;
        double run_ms = 0;
    };
    std::map<queue_name, typical_job> typical_;
    std::map<service_name, base::time_point> last_starts_;
    base::time_point updated_at_{};
};

// The part of a log line that describes the queues, the longest wait first. At most `max_queues`.
std::string to_log_text(const std::map<queue_name, expected_service>& queues,
                        std::size_t max_queues);

}  // namespace cranberrydock::fleet
