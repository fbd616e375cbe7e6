// Rack spread: one rack or switch fails as a whole, so a service's tasks go to the rack that has
// the fewest of them; among that rack's VMs the tightest fit is taken.
#include <cranberrydock/policy/placement_scorer.hpp>

namespace cranberrydock::policy {
namespace {

// More than any tight-fit cost, so that the count of tasks in the rack decides first.
constexpr double cost_per_task_in_rack = 1000;

class rack_spread_scorer final : public placement_scorer {
public:
    double cost(const base::resources& need, const placement_option& option) const override {
        return cost_per_task_in_rack * static_cast<double>(option.same_job_in_rack) +
               tight_->cost(need, option);
    }
    bool wants_racks() const override { return true; }

private:
    std::unique_ptr<placement_scorer> tight_ = make_tight_fit_scorer();
};

}  // namespace

std::unique_ptr<placement_scorer> make_rack_spread_scorer() {
    return std::make_unique<rack_spread_scorer>();
}

}  // namespace cranberrydock::policy
