// Batch: in order of acceptance, with the lowest weight, yet never none: each task ends placed,
// cancelled or given up with its reason, which is only ever a deadline that its caller set.
#include "acceptance_order.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 1;

class batch_policy final : public detail::acceptance_order {
public:
    batch_policy() : acceptance_order(share_weight, make_tight_fit_scorer()) {}

    bool may_be_stopped() const override { return true; }
};

}  // namespace

std::unique_ptr<queue_policy> make_batch_policy() {
    return std::make_unique<batch_policy>();
}

}  // namespace cranberrydock::policy
