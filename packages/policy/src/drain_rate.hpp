// How fast a queue drains, measured only while tasks wait in it: a queue that is empty most of the
// time says nothing about how fast it could drain.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include <cstddef>
#include <optional>

namespace cranberrydock::policy {

class drain_rate {
public:
    // A task has left the queue for a VM; `still_waiting` tasks stay behind it.
    void left(base::time_point now, std::size_t still_waiting);

    // Tasks a second; none until enough has been seen. A queue from which nothing leaves drains
    // ever slower as `now` goes on.
    std::optional<double> per_second(base::time_point now) const;

private:
    double left_ = 0;          // tasks that left, older ones counting less
    double busy_seconds_ = 0;  // time during which some waited, with the same decay
    base::time_point last_{};
    bool waiting_ = false;  // some stayed behind the last one that left
};

}  // namespace cranberrydock::policy
