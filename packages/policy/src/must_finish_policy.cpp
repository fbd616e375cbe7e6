// Must finish: paid work that may wait. In order of acceptance; a passed deadline changes nothing,
// since late is still better than never.
#include <cranberrydock/policy/queue_policy.hpp>

namespace cranberrydock::policy {
namespace {

constexpr double share_weight = 4;

class must_finish_policy final : public queue_policy {
public:
    std::int64_t position(const task_timing& one) const override {
        return one.accepted.time_since_epoch().count();
    }
    std::optional<base::refusal> refuse(const task_timing& /*one*/,
                                        const queue_outlook& /*outlook*/) const override {
        return std::nullopt;
    }
    std::optional<base::time_point> useless_from(const task_timing& /*one*/,
                                                 base::duration /*run_time*/) const override {
        return std::nullopt;
    }
    double weight() const override { return share_weight; }
    const placement_scorer& scorer() const override { return *scorer_; }

private:
    std::unique_ptr<placement_scorer> scorer_ = make_tight_fit_scorer();
};

}  // namespace

std::unique_ptr<queue_policy> make_must_finish_policy() {
    return std::make_unique<must_finish_policy>();
}

}  // namespace cranberrydock::policy
