// What the policies share that take tasks in the order of their acceptance and give one up only
// when its deadline has passed.
#pragma once

#include <cranberrydock/policy/queue_policy.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace cranberrydock::policy::detail {

class acceptance_order : public queue_policy {
public:
    acceptance_order(double share_weight, std::unique_ptr<placement_scorer> scorer)
        : share_weight_(share_weight), scorer_(std::move(scorer)) {}

    std::int64_t position(const task_timing& one) const override {
        return one.accepted.time_since_epoch().count();
    }

    // Refuses a task whose deadline has passed when it arrives.
    std::optional<base::refusal> refuse(const task_timing& one,
                                        const queue_outlook& outlook) const override {
        if (!one.deadline || *one.deadline > outlook.now) {
            return std::nullopt;
        }
        return base::refusal{base::refusal_reason::deadline_unreachable, true,
                             base::milliseconds(0), "the deadline has passed on arrival"};
    }

    std::optional<base::time_point> useless_from(const task_timing& one,
                                                 base::duration /*run_time*/) const override {
        return one.deadline;
    }

    double weight() const override { return share_weight_; }
    const placement_scorer& scorer() const override { return *scorer_; }

private:
    double share_weight_;
    std::unique_ptr<placement_scorer> scorer_;
};

}  // namespace cranberrydock::policy::detail
