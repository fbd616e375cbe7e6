// Gang: jobs whose tasks start together, in order of acceptance. That they start whole, and that
// room is kept for them, is the scheduler's part; the order and the weight are said here.
#include <cranberrydock/policy/queue_policy.hpp>

#include "deadline_rules.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class gang_policy final : public queue_policy {
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
    const placement_scorer& scorer() const override { return *scorer_; }

private:
    std::unique_ptr<placement_scorer> scorer_ = make_tight_fit_scorer();
};

}  // namespace

std::unique_ptr<queue_policy> make_gang_policy() {
    return std::make_unique<gang_policy>();
}

}  // namespace cranberrydock::policy
