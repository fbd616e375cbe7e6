// The wait before the next attempt to dial a peer. The wait doubles up to a maximum and has jitter,
// so that daemons that lost the same peer at the same time do not reconnect at the same time.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <random>

namespace cranberrydock::mesh::detail {

class backoff {
public:
    explicit backoff(std::uint64_t seed) : random_(seed) {}

    // Returns the next wait, drawn at random from the upper half of the current bound.
    base::milliseconds next();

    // Restarts from the shortest wait after a successful attempt.
    void reset() { bound_ = min_wait; }

private:
    static constexpr base::milliseconds min_wait{50};
    static constexpr base::milliseconds max_wait{2'000};

    base::milliseconds bound_ = min_wait;  // from min_wait to max_wait
    std::mt19937_64 random_;
};

}  // namespace cranberrydock::mesh::detail
