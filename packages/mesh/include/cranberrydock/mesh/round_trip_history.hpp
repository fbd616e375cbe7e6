// The round-trip times of one link: recent and long-term quantiles.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <memory>

namespace cranberrydock::mesh {

struct round_trip_summary {
    std::size_t samples = 0;  // since the start; with 0 the other fields are meaningless
    base::microseconds recent_median{0};
    base::microseconds recent_p99{0};
    base::microseconds usual_median{0};
    base::microseconds usual_p99{0};
};

class round_trip_history {
public:
    round_trip_history();
    ~round_trip_history();
    round_trip_history(const round_trip_history&) = delete;
    round_trip_history& operator=(const round_trip_history&) = delete;

    void add(base::microseconds sample);
    round_trip_summary summary() const;

    static constexpr std::size_t recent_samples = 60;  // half a minute of heartbeats

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::mesh
