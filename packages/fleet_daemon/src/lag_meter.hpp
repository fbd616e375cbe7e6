// Measures how long the events of a loop are delayed, from the lateness of a periodic timer.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include <cstdint>

namespace cranberrydock::fleet_daemon::detail {

class lag_meter {
public:
    explicit lag_meter(base::milliseconds period) : period_(period) {}

    // Called each time the timer fires.
    void tick(base::time_point now) {
        if (last_ != base::time_point{}) {
            const auto late = now - last_ - period_;
            lag_ += base::duration(
                static_cast<std::int64_t>(static_cast<double>((late - lag_).count()) * smoothing));
        }
        last_ = now;
    }

    // The delay, smoothed over about twenty ticks.
    base::duration lag() const { return lag_; }
    void reset() { lag_ = base::duration{0}; }

private:
    static constexpr double smoothing = 0.05;

    base::milliseconds period_;
    base::time_point last_{};
    base::duration lag_{0};
};

}  // namespace cranberrydock::fleet_daemon::detail
