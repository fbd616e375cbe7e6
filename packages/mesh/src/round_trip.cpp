// Matches echoes to sent heartbeats and smooths the round-trip time.
#include "round_trip.hpp"

#include <algorithm>

namespace cranberrydock::mesh::detail {

heartbeat_timing round_trip::next(base::time_point now) {
    ++last_sent_;
    unanswered_.push_back({last_sent_, now});
    if (unanswered_.size() > max_unanswered) {
        unanswered_.pop_front();
    }
    const base::microseconds hold_time =
        last_received_ == 0 ? base::microseconds{0} : now - last_received_at_;
    return {last_sent_, last_received_, hold_time};
}

std::optional<base::microseconds> round_trip::record(const heartbeat_timing& received,
                                                     base::time_point now) {
    last_received_ = received.sequence;
    last_received_at_ = now;
    while (!unanswered_.empty() && unanswered_.front().sequence < received.echo) {
        unanswered_.pop_front();
    }
    if (unanswered_.empty() || unanswered_.front().sequence != received.echo) {
        return std::nullopt;
    }
    const base::microseconds elapsed = now - unanswered_.front().sent_at;
    unanswered_.pop_front();
    const base::microseconds sample = std::max(base::microseconds{0}, elapsed - received.hold_time);
    smoothed_ =
        smoothed_.count() == 0 ? sample : smoothed_ + (sample - smoothed_) / smoothing_divisor;
    return sample;
}

}  // namespace cranberrydock::mesh::detail
