// Batch: in order of acceptance, with the lowest weight, yet never none: each task ends placed,
// cancelled or given up with its reason, which is only ever a deadline that its caller set.
#include <cranberrydock/policy/queue_policy.hpp>

#include "deadline_rules.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 1;

class batch_policy final : public queue_policy {
public:
    std::int64_t position(const task_timing& one) const override {
        return one.accepted.time_since_epoch().count();
    }
    std::optional<base::refusal> refuse(const task_timing& one,
                                        const queue_outlook& outlook) const override {
        return detail::refuse_if_past(one, outlook.now);
    }
    std::optional<base::time_point> useless_from(const task_timing& one,
                                                 base::duration /*run_time*/) const override {
        return one.deadline;
    }
    double weight() const override { return share_weight; }
    bool may_be_stopped() const override { return true; }
    const placement_scorer& scorer() const override { return *scorer_; }

private:
    std::unique_ptr<placement_scorer> scorer_ = make_tight_fit_scorer();
};

}  // namespace

std::unique_ptr<queue_policy> make_batch_policy() {
    return std::make_unique<batch_policy>();
}

}  // namespace cranberrydock::policy
