// A rate limit for the log lines of one kind of event. At most a fixed number of lines per second
// is allowed, and a summary line reports how many were suppressed.
#pragma once

#include <cranberrydock/base/clock.hpp>

#include <cstdint>
#include <string>

namespace cranberrydock::base {

// Not thread-safe. Lines are counted per whole second of the time that is passed in.
class log_rate_limiter {
public:
    log_rate_limiter(std::string kind, std::int64_t lines_per_second)
        : kind_(std::move(kind)), max_lines_per_second_(lines_per_second) {}

    // Whether a line may be written at the time `now`. The first call in a new second logs the
    // number of lines suppressed since the last report, if there are any.
    bool allows(time_point now);

    // The number of lines suppressed since the last report.
    std::int64_t suppressed_lines() const { return suppressed_lines_; }

private:
    std::string kind_;
    std::int64_t max_lines_per_second_;
    std::int64_t second_ = 0;
    std::int64_t lines_ = 0;             // allowed in the current second
    std::int64_t suppressed_lines_ = 0;  // since the last report
};

}  // namespace cranberrydock::base
