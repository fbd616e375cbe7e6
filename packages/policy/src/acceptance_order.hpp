// Base class of the policies that order tasks by acceptance time and abandon a task only when its
// deadline has passed.
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

    std::int64_t position(const task_timing& timing) const override {
        return timing.accepted.time_since_epoch().count();
    }

    // Refuses a task whose deadline has already passed when it is submitted.
    std::optional<base::refusal> refuse(const task_timing& timing,
                                        const queue_snapshot& snapshot) const override {
        if (!timing.deadline || *timing.deadline > snapshot.now) {
            return std::nullopt;
        }
        return base::refusal{base::refusal_reason::deadline_unreachable, true,
                             base::milliseconds(0), "the deadline had already passed on arrival"};
    }

    std::optional<base::time_point> start_deadline(const task_timing& timing,
                                                   base::duration /*run_time*/) const override {
        return timing.deadline;
    }

    double weight() const override { return share_weight_; }
    const placement_scorer& scorer() const override { return *scorer_; }

private:
    double share_weight_;
    std::unique_ptr<placement_scorer> scorer_;
};

}  // namespace cranberrydock::policy::detail
