// The machine's monotonic clocks.
#include <cranberrydock/base/clock.hpp>

#include <ctime>

namespace cranberrydock::base {

time_point monotonic_clock::now() const {
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now());
}

time_point suspend_aware_clock::now() const {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) +
                      std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace cranberrydock::base
