// Rack spread: a rack or its switch fails as a unit, so the tasks of a service go to the rack that
// has the fewest of them. Among the VMs of that rack the tightest fit is chosen.
#include <cranberrydock/policy/placement_scorer.hpp>

namespace cranberrydock::policy {
namespace {

// Larger than any tight-fit cost, so that the number of tasks in the rack decides first.
constexpr double cost_per_task_in_rack = 1000;

class rack_spread_scorer final : public placement_scorer {
public:
    double cost(const base::resources& need, const placement_option& option) const override {
        return cost_per_task_in_rack * static_cast<double>(option.same_job_in_rack) +
               tight_->cost(need, option);
    }
    bool uses_rack_counts() const override { return true; }

private:
    std::unique_ptr<placement_scorer> tight_ = make_tight_fit_scorer();
};

}  // namespace

std::unique_ptr<placement_scorer> make_rack_spread_scorer() {
    return std::make_unique<rack_spread_scorer>();
}

}  // namespace cranberrydock::policy
