// Tight fit: the sum of squares of what the VM would have left, each resource as a part of its
// capacity. Squares prefer using up a VM evenly over leaving one resource stranded.
#include <cranberrydock/policy/placement_scorer.hpp>

namespace cranberrydock::policy {
namespace {

template <typename Unit>
double left_squared(Unit room, Unit need, Unit capacity) {
    if (capacity.value() <= 0) {
        return 0;
    }
    const double left =
        static_cast<double>((room - need).value()) / static_cast<double>(capacity.value());
    return left * left;
}

class tight_fit_scorer final : public placement_scorer {
public:
    double cost(const base::resources& need, const placement_option& option) const override {
        const base::resources& room = option.room;
        const base::resources& capacity = option.capacity;
        return left_squared(room.cores, need.cores, capacity.cores) +
               left_squared(room.memory, need.memory, capacity.memory) +
               left_squared(room.accelerators, need.accelerators, capacity.accelerators) +
               left_squared(room.slots, need.slots, capacity.slots);
    }
};

}  // namespace

std::unique_ptr<placement_scorer> make_tight_fit_scorer() {
    return std::make_unique<tight_fit_scorer>();
}

}  // namespace cranberrydock::policy
