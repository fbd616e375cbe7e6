// Measures the round-trip time with the heartbeats themselves, without extra frames. Each heartbeat
// names the last heartbeat received from the other end and the time since its receipt. Each end
// takes differences of its own clock only, so the clocks need not agree.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace cranberrydock::mesh::detail {

struct heartbeat_timing {
    std::int64_t sequence = 0;        // from 1
    std::int64_t echo = 0;            // the last sequence number received; 0 before the first
    base::microseconds hold_time{0};  // time since the echoed heartbeat was received
};

class round_trip {
public:
    // Returns the timing fields of the next heartbeat to send.
    heartbeat_timing next(base::time_point now);

    // Records a received heartbeat. Returns a sample when it echoes a heartbeat that has not been
    // measured before.
    std::optional<base::microseconds> record(const heartbeat_timing& received,
                                             base::time_point now);

    // Smoothed over the samples; 0 before the first.
    base::microseconds smoothed() const { return smoothed_; }

private:
    struct sent_heartbeat {
        std::int64_t sequence = 0;
        base::time_point sent_at{};
    };

    static constexpr std::size_t max_unanswered = 64;
    static constexpr int smoothing_divisor = 8;  // as TCP does (RFC 6298): 7/8 old, 1/8 new

    std::int64_t last_sent_ = 0;
    std::int64_t last_received_ = 0;
    base::time_point last_received_at_{};
    std::deque<sent_heartbeat> unanswered_;  // by increasing sequence, at most max_unanswered
    base::microseconds smoothed_{0};
};

}  // namespace cranberrydock::mesh::detail
