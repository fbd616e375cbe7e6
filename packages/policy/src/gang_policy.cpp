// Gang: jobs whose tasks start together, in order of acceptance. That they start whole, and that
// room is kept for them, is the scheduler's part; the order and the weight are said here.
#include "acceptance_order.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class gang_policy final : public detail::acceptance_order {
public:
    gang_policy() : acceptance_order(share_weight, make_tight_fit_scorer()) {}
};

}  // namespace

std::unique_ptr<queue_policy> make_gang_policy() {
    return std::make_unique<gang_policy>();
}

}  // namespace cranberrydock::policy
