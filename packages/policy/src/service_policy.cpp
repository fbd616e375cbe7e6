// Service: tasks that run until they are cancelled. They spread over racks, so that the loss of a
// rack takes few of them.
#include <cranberrydock/policy/queue_policy.hpp>

#include "deadline_rules.hpp"

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class service_policy final : public queue_policy {
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
    std::unique_ptr<placement_scorer> scorer_ = make_rack_spread_scorer();
};

}  // namespace

std::unique_ptr<queue_policy> make_service_policy() {
    return std::make_unique<service_policy>();
}

}  // namespace cranberrydock::policy
