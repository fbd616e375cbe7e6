// Must finish: paid work that may wait, in order of acceptance. A passed deadline has no effect,
// since a late result is still wanted.
#include "acceptance_order.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class must_finish_policy final : public detail::acceptance_order {
public:
    must_finish_policy() : acceptance_order(share_weight, make_tight_fit_scorer()) {}

    std::optional<base::refusal> refuse(const task_timing& /*timing*/,
                                        const queue_snapshot& /*outlook*/) const override {
        return std::nullopt;
    }
    std::optional<base::time_point> start_deadline(const task_timing& /*timing*/,
                                                   base::duration /*run_time*/) const override {
        return std::nullopt;
    }
};

}  // namespace

std::unique_ptr<queue_policy> make_must_finish_policy() {
    return std::make_unique<must_finish_policy>();
}

}  // namespace cranberrydock::policy
