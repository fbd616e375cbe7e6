// Measures how fast a queue drains. Only the time during which tasks wait is counted, since a queue
// that is mostly empty does not show how fast it could drain.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include <cstddef>
#include <optional>

namespace cranberrydock::policy {

class drain_rate {
public:
    // Records that a task left the queue for a VM; `still_waiting` tasks remain in the queue.
    void record_departure(base::time_point now, std::size_t still_waiting);

    // Returns the rate in tasks per second, or nullopt until enough departures have been counted.
    // If tasks wait and none leaves, the rate falls as `now` advances.
    std::optional<double> per_second(base::time_point now) const;

private:
    double departures_ = 0;    // with exponential decay
    double busy_seconds_ = 0;  // time during which tasks waited, with the same decay
    base::time_point last_departure_{};
    bool waiting_ = false;  // tasks remained after the last departure
};

}  // namespace cranberrydock::policy
