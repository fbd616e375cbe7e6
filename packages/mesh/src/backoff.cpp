// Exponential backoff with jitter.
#include "backoff.hpp"

#include <algorithm>

namespace cranberrydock::mesh::detail {

base::milliseconds backoff::next() {
    std::uniform_int_distribution<base::milliseconds::rep> distribution(bound_.count() / 2,
                                                                        bound_.count());
    bound_ = std::min(bound_ * 2, max_wait);
    return base::milliseconds(distribution(random_));
}

}  // namespace cranberrydock::mesh::detail
