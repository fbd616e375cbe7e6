// Measures the time in which this process was able to receive messages. A peer is given this long
// to answer: time in which an answer waited for this process is not the peer's. Driven by a
// periodic timer of the event loop, whose lateness is the time in which no events were processed.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include <algorithm>

namespace cranberrydock::fleet_daemon {

class listening_clock {
public:
    explicit listening_clock(base::duration period) : period_(period) {}

    // The timer was started.
    void restart(base::time_point now) {
        listened_ = listened(now);
        last_tick_ = now;
    }
    // The timer has fired.
    void tick(base::time_point now) {
        late_ += std::max(base::duration{0}, now - last_tick_ - period_);
        restart(now);
    }

    // The time listened until `now`. Only differences are meaningful.
    base::duration listened(base::time_point now) const {
        return listened_ + std::min(gap(now), period_);
    }
    // The time until `now` in which no events were processed.
    base::duration late(base::time_point now) const {
        return late_ + std::max(base::duration{0}, gap(now) - period_);
    }
    // The time since the timer last fired.
    base::duration gap(base::time_point now) const { return now - last_tick_; }

private:
    base::duration period_;
    base::time_point last_tick_{};
    base::duration listened_{0};
    base::duration late_{0};
};

}  // namespace cranberrydock::fleet_daemon
