// Sequence numbers, echoes and the smoothing.
#include "round_trip.hpp"

#include <algorithm>

namespace cranberrydock::mesh::detail {

beat round_trip::next(base::time_point now) {
    ++last_sent_;
    unanswered_.push_back({last_sent_, now});
    if (unanswered_.size() > max_unanswered) {
        unanswered_.pop_front();
    }
    const base::microseconds held = last_heard_ == 0 ? base::microseconds{0} : now - last_heard_at_;
    return {last_sent_, last_heard_, held};
}

std::optional<base::microseconds> round_trip::heard(const beat& what, base::time_point now) {
    last_heard_ = what.sequence;
    last_heard_at_ = now;
    while (!unanswered_.empty() && unanswered_.front().sequence < what.echo) {
        unanswered_.pop_front();
    }
    if (unanswered_.empty() || unanswered_.front().sequence != what.echo) {
        return std::nullopt;
    }
    const base::microseconds elapsed = now - unanswered_.front().at;
    unanswered_.pop_front();
    const base::microseconds sample = std::max(base::microseconds{0}, elapsed - what.held);
    smoothed_ = smoothed_.count() == 0 ? sample : smoothed_ + (sample - smoothed_) / smoothing;
    return sample;
}

}  // namespace cranberrydock::mesh::detail
