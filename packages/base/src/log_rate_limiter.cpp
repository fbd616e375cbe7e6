// A rate limit for the log lines of one kind of event.
#include <cranberrydock/base/log.hpp>
#include <cranberrydock/base/log_rate_limiter.hpp>

namespace cranberrydock::base {

bool log_rate_limiter::allows(time_point now) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != second_) {
        second_ = second;
        lines_ = 0;
        if (suppressed_lines_ > 0) {
            spdlog::info("event=lines_left_out kind={} count={} budget={}", kind_,
                         suppressed_lines_, max_lines_per_second_);
            suppressed_lines_ = 0;
        }
    }
    if (lines_ >= max_lines_per_second_) {
        ++suppressed_lines_;
        return false;
    }
    ++lines_;
    return true;
}

}  // namespace cranberrydock::base
