// The policy of one kind of queue: the order of its tasks, when a waiting task expires, the queue's
// weight against the team's other queues, and the placement scorer.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/policy/placement_scorer.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace cranberrydock::policy {

// The times of a task that a policy uses.
struct task_timing {
    base::time_point accepted{};
    std::optional<base::time_point> deadline;
    std::optional<base::duration> expected_time;
};

// The state of a queue when a task is submitted to it.
struct queue_snapshot {
    base::time_point now{};
    std::size_t queued = 0;  // waiting tasks of the same team, queue and kind
    // Drain rate in tasks per second, counted only while other tasks wait in the queue; nullopt
    // until enough departures have been counted.
    std::optional<double> drained_per_second;
    // Estimated from completed tasks, or derived from the declared time.
    base::duration run_time{0};
};

class queue_policy {
public:
    virtual ~queue_policy() = default;

    // Returns the sort key within the queue. Lower values go first; equal values go in order of
    // arrival.
    virtual std::int64_t position(const task_timing& timing) const = 0;

    // Returns a refusal if the task can't meet its deadline, and nullopt if it is accepted. The
    // refusal always has not_run set.
    virtual std::optional<base::refusal> refuse(const task_timing& timing,
                                                const queue_snapshot& snapshot) const = 0;

    // Returns the time from which starting the task is pointless, so that the scheduler abandons
    // it; nullopt if the task never expires.
    virtual std::optional<base::time_point> start_deadline(const task_timing& timing,
                                                           base::duration run_time) const = 0;

    // Weight of the queue against the other queues of the same team.
    virtual double weight() const = 0;

    // Returns true if tasks of this queue go before those of other teams while their team is below
    // its share.
    virtual bool urgent() const { return false; }

    // Returns true if running tasks of this queue may be stopped in favour of urgent tasks. Only
    // repeatable tasks are stopped.
    virtual bool preemptible() const { return false; }

    virtual const placement_scorer& scorer() const = 0;
};

// For previews: earliest deadline first. Tasks are refused or abandoned as soon as their deadline
// can't be met.
std::unique_ptr<queue_policy> make_latency_policy();
// For mosaics and costings: in order of acceptance. Tasks are never abandoned because they are
// late.
std::unique_ptr<queue_policy> make_must_finish_policy();
// For batch jobs: in order of acceptance with the lowest weight, so that batch still gets a part of
// its team's capacity. Tasks are abandoned only once their deadline, if any, has passed.
std::unique_ptr<queue_policy> make_batch_policy();
// For jobs whose tasks start together: in order of acceptance.
std::unique_ptr<queue_policy> make_gang_policy();
// For services: in order of acceptance, spread over racks.
std::unique_ptr<queue_policy> make_service_policy();

// Returns the policy for a queue's configured kind.
std::unique_ptr<queue_policy> make_queue_policy(queue_kind kind);

}  // namespace cranberrydock::policy
