// The doubling and the jitter.
#include "backoff.hpp"

#include <algorithm>

namespace cranberrydock::mesh::detail {

base::milliseconds backoff::next() {
    std::uniform_int_distribution<base::milliseconds::rep> within(bound_.count() / 2,
                                                                  bound_.count());
    bound_ = std::min(bound_ * 2, most);
    return base::milliseconds(within(random_));
}

}  // namespace cranberrydock::mesh::detail
