// Tight fit: the cost is the sum of squares of what the VM would have left, each resource as a
// fraction of its capacity, plus the weighted square of the difference between the cores and the
// memory left. The squares favour using up a VM evenly. The difference avoids leaving cores without
// memory or memory without cores.
#include <cranberrydock/policy/placement_scorer.hpp>

namespace cranberrydock::policy {
namespace {

// Weight of the difference relative to the amounts left.
constexpr double weight_of_difference = 4;

template <typename Unit>
double fraction_left(Unit room, Unit need, Unit capacity) {
    return capacity.value() <= 0
               ? 0
               : static_cast<double>((room - need).value()) / static_cast<double>(capacity.value());
}

double square(double x) {
    return x * x;
}

class tight_fit_scorer final : public placement_scorer {
public:
    double cost(const base::resources& need, const placement_option& option) const override {
        const base::resources& room = option.room;
        const base::resources& capacity = option.capacity;
        const double cores = fraction_left(room.cores, need.cores, capacity.cores);
        const double memory = fraction_left(room.memory, need.memory, capacity.memory);
        const double accelerators =
            fraction_left(room.accelerators, need.accelerators, capacity.accelerators);
        const double slots = fraction_left(room.slots, need.slots, capacity.slots);
        return square(cores) + square(memory) + square(accelerators) + square(slots) +
               weight_of_difference * square(cores - memory);
    }
};

}  // namespace

std::unique_ptr<placement_scorer> make_tight_fit_scorer() {
    return std::make_unique<tight_fit_scorer>();
}

}  // namespace cranberrydock::policy
