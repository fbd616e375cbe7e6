// Tight fit: the sum of squares of what the VM would have left, each resource as a part of its
// capacity, and the square of the difference of cores and memory left. Squares prefer using up a VM
// evenly; the difference keeps one of the two from being stranded when the other has run out.
#include <cranberrydock/policy/placement_scorer.hpp>

namespace cranberrydock::policy {
namespace {

// Weight of a difference against the same amount left.
constexpr double weight_of_difference = 4;

template <typename Unit>
double left(Unit room, Unit need, Unit capacity) {
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
        const double cores = left(room.cores, need.cores, capacity.cores);
        const double memory = left(room.memory, need.memory, capacity.memory);
        const double accelerators =
            left(room.accelerators, need.accelerators, capacity.accelerators);
        const double slots = left(room.slots, need.slots, capacity.slots);
        return square(cores) + square(memory) + square(accelerators) + square(slots) +
               weight_of_difference * square(cores - memory);
    }
};

}  // namespace

std::unique_ptr<placement_scorer> make_tight_fit_scorer() {
    return std::make_unique<tight_fit_scorer>();
}

}  // namespace cranberrydock::policy
