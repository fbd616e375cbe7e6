// The machine's monotonic clock.
#include <cranberrydock/base/clock.hpp>

namespace cranberrydock::base {

time_point monotonic_clock::now() const {
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now());
}

}  // namespace cranberrydock::base
