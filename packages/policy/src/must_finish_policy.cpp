// Must finish: paid work that may wait. In order of acceptance; a passed deadline changes nothing,
// since late is still better than never.
#include "acceptance_order.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class must_finish_policy final : public detail::acceptance_order {
public:
    must_finish_policy() : acceptance_order(share_weight, make_tight_fit_scorer()) {}

    std::optional<base::refusal> refuse(const task_timing& /*one*/,
                                        const queue_outlook& /*outlook*/) const override {
        return std::nullopt;
    }
    std::optional<base::time_point> useless_from(const task_timing& /*one*/,
                                                 base::duration /*run_time*/) const override {
        return std::nullopt;
    }
};

}  // namespace

std::unique_ptr<queue_policy> make_must_finish_policy() {
    return std::make_unique<must_finish_policy>();
}

}  // namespace cranberrydock::policy
