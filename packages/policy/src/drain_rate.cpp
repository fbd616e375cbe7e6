// The drain rate as departures over busy time, both decaying alike, so that bursts cancel out.
#include "drain_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberrydock::policy {
namespace {

// After this long an observation counts 1/e; but slow queues remember their last tasks.
constexpr double memory_seconds = 5;
constexpr double least_kept = 1 - 1.0 / 32;
constexpr double fewest_left = 8;       // tasks
constexpr double shortest_busy = 0.02;  // seconds

double seconds_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void drain_rate::left(base::time_point now, std::size_t still_waiting) {
    if (waiting_) {
        const double passed = seconds_between(last_, now);
        const double kept = std::max(least_kept, std::exp(-passed / memory_seconds));
        left_ = left_ * kept + 1;
        busy_seconds_ = busy_seconds_ * kept + passed;
    }
    last_ = now;
    waiting_ = still_waiting > 0;
}

std::optional<double> drain_rate::per_second(base::time_point now) const {
    const double busy = busy_seconds_ + (waiting_ ? seconds_between(last_, now) : 0);
    if (left_ < fewest_left || busy < shortest_busy) {
        return std::nullopt;
    }
    return left_ / busy;
}

}  // namespace cranberrydock::policy
