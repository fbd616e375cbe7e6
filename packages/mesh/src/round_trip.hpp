// Round-trip time from the heartbeats themselves: each names the last one heard from the other end
// and how long ago that was, so no frame is sent for measuring. Each end uses its own clock for its
// own points only.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace cranberrydock::mesh::detail {

struct beat {
    std::int64_t sequence = 0;   // from 1
    std::int64_t echo = 0;       // the last sequence heard from the other end; 0: none yet
    base::microseconds held{0};  // since it was heard
};

class round_trip {
public:
    // The next beat to send.
    beat next(base::time_point now);

    // Takes a beat that was heard; gives a measurement when it echoes a beat not yet measured.
    std::optional<base::microseconds> heard(const beat& what, base::time_point now);

    // 0 before the first measurement.
    base::microseconds smoothed() const { return smoothed_; }

private:
    struct sent_beat {
        std::int64_t sequence = 0;
        base::time_point at{};
    };

    static constexpr std::size_t max_unanswered = 64;
    static constexpr int smoothing = 8;  // as TCP smooths (RFC 6298): 7/8 old, 1/8 new

    std::int64_t last_sent_ = 0;
    std::int64_t last_heard_ = 0;
    base::time_point last_heard_at_{};
    std::deque<sent_beat> unanswered_;  // in rising sequence, at most max_unanswered
    base::microseconds smoothed_{0};
};

}  // namespace cranberrydock::mesh::detail
