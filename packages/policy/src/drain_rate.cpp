// The drain rate is the number of departures divided by the busy time. Both decay by the same
// factor, so that bursts cancel out.
#include "drain_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberrydock::policy {
namespace {

// Time constant: after this many seconds an observation has a weight of 1/e. The decay factor per
// departure is bounded, so that slow queues still count their last tasks.
constexpr double decay_seconds = 5;
constexpr double min_decay_factor = 1 - 1.0 / 32;
constexpr double min_departures = 8;  // in tasks
constexpr double min_busy_seconds = 0.02;

double seconds_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void drain_rate::record_departure(base::time_point now, std::size_t still_waiting) {
    if (waiting_) {
        const double elapsed = seconds_between(last_departure_, now);
        const double decay_factor = std::max(min_decay_factor, std::exp(-elapsed / decay_seconds));
        departures_ = departures_ * decay_factor + 1;
        busy_seconds_ = busy_seconds_ * decay_factor + elapsed;
    }
    last_departure_ = now;
    waiting_ = still_waiting > 0;
}

std::optional<double> drain_rate::per_second(base::time_point now) const {
    const double busy = busy_seconds_ + (waiting_ ? seconds_between(last_departure_, now) : 0);
    if (departures_ < min_departures || busy < min_busy_seconds) {
        return std::nullopt;
    }
    return departures_ / busy;
}

}  // namespace cranberrydock::policy
