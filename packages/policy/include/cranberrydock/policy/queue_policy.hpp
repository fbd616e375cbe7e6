// What one kind of queue wants: its order, when waiting has become useless, how much of a team's
// use it may claim against the team's other queues, and which VMs suit it.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/policy/placement_scorer.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace cranberrydock::policy {

// The times of a task that a policy looks at.
struct task_timing {
    base::time_point accepted{};
    std::optional<base::time_point> deadline;
    std::optional<base::duration> expected_time;
};

// What a task finds when it asks to join a queue.
struct queue_outlook {
    base::time_point now{};
    std::size_t queued = 0;  // waiting tasks of the same team, queue and kind
    // Tasks a second that left while others waited; none until it has been measured.
    std::optional<double> drained_per_second;
    base::duration run_time{0};  // as learnt, or as declared
};

class queue_policy {
public:
    virtual ~queue_policy() = default;

    // The place in the queue: lower goes first; equal values go in order of arrival.
    virtual std::int64_t position(const task_timing& one) const = 0;

    // Why the task is not taken, if so. A refusal here always says "not run".
    virtual std::optional<base::refusal> refuse(const task_timing& one,
                                                const queue_outlook& outlook) const = 0;

    // From when on starting the task is useless, so that it is given up; none: never.
    virtual std::optional<base::time_point> useless_from(const task_timing& one,
                                                         base::duration run_time) const = 0;

    // Weight against the other queues of the same team.
    virtual double weight() const = 0;

    // Urgent work goes before that of other teams while its team is below its share.
    virtual bool urgent() const { return false; }

    // A running task may be stopped in favour of urgent work, if it may be repeated.
    virtual bool may_be_stopped() const { return false; }

    virtual const placement_scorer& scorer() const = 0;
};

// Previews: earliest deadline first; refused or given up as soon as the deadline can't be met.
std::unique_ptr<queue_policy> make_latency_policy();
// Mosaics and costings: in order of acceptance, never given up for being late.
std::unique_ptr<queue_policy> make_must_finish_policy();
// Batch: takes what the others leave, yet keeps a part of its team's use; given up only once its
// deadline, if it has one, has passed.
std::unique_ptr<queue_policy> make_batch_policy();
// Jobs whose tasks start together; in order of acceptance.
std::unique_ptr<queue_policy> make_gang_policy();
// Services: spread over racks.
std::unique_ptr<queue_policy> make_service_policy();

// The policy that a queue's configured kind names.
std::unique_ptr<queue_policy> make_queue_policy(queue_kind kind);

}  // namespace cranberrydock::policy
