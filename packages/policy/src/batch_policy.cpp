// Batch: in order of acceptance, with the lowest weight. The weight is above zero so that batch is
// not starved. Each task is placed, cancelled, or abandoned because the deadline that its caller
// set has passed.
#include "acceptance_order.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 1;

class batch_policy final : public detail::acceptance_order {
public:
    batch_policy() : acceptance_order(share_weight, make_tight_fit_scorer()) {}

    bool preemptible() const override { return true; }
};

}  // namespace

std::unique_ptr<queue_policy> make_batch_policy() {
    return std::make_unique<batch_policy>();
}

}  // namespace cranberrydock::policy
