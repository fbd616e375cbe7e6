// How long to wait before dialing again: doubling up to a bound, with jitter, so that daemons that
// lost the same peer at the same time don't return to it at the same time.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <random>

namespace cranberrydock::mesh::detail {

class backoff {
public:
    explicit backoff(std::uint64_t seed) : random_(seed) {}

    // The next wait; each is drawn from the upper half of its bound.
    base::milliseconds next();

    // The last try succeeded.
    void reset() { bound_ = first; }

private:
    static constexpr base::milliseconds first{50};
    static constexpr base::milliseconds most{2'000};

    base::milliseconds bound_ = first;  // from first to most
    std::mt19937_64 random_;
};

}  // namespace cranberrydock::mesh::detail
