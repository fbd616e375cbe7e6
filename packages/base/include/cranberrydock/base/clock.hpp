// The clock interface and its implementations. Decision code takes the current time as an argument;
// only the outermost loops hold a clock.
#pragma once

#include <chrono>

namespace cranberrydock::base {

// Points in time on one process's monotonic clock. They are never compared between processes:
// nothing in this project relies on synchronised clocks.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using duration = std::chrono::microseconds;

class clock {
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
};

// The machine's monotonic clock.
class monotonic_clock final : public clock {
public:
    time_point now() const override;
};

// A monotonic clock that includes the time for which the machine was suspended, which
// monotonic_clock excludes. Leases and ownership use this clock, since they expire even while their
// holder is suspended.
class suspend_aware_clock final : public clock {
public:
    time_point now() const override;
};

// A clock for tests. Its time changes only through advance().
class manual_clock final : public clock {
public:
    time_point now() const override { return now_; }
    void advance(duration d) { now_ += d; }

private:
    time_point now_{};
};

}  // namespace cranberrydock::base
