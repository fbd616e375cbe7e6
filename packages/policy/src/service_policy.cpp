// Service: tasks that run until they are cancelled. They are spread over racks, so that the loss of
// one rack affects few of them.
#include "acceptance_order.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class service_policy final : public detail::acceptance_order {
public:
    service_policy() : acceptance_order(share_weight, make_rack_spread_scorer()) {}
};

}  // namespace

std::unique_ptr<queue_policy> make_service_policy() {
    return std::make_unique<service_policy>();
}

}  // namespace cranberrydock::policy
