// Gang: jobs whose tasks start together, in order of acceptance. The scheduler places a gang as a
// unit and makes reservations for it; this policy only sets the order and the weight.
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
