// Arithmetic of weighted dominant shares.
#include "fair_share.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

template <typename Unit>
double fraction(Unit used, Unit total) {
    return total.value() <= 0
               ? 0
               : static_cast<double>(used.value()) / static_cast<double>(total.value());
}

}  // namespace

double fair_share::dominant_share(const base::resources& used) const {
    return std::max({fraction(used.cores, total_.cores), fraction(used.memory, total_.memory),
                     fraction(used.accelerators, total_.accelerators),
                     fraction(used.slots, total_.slots)});
}

double fair_share::smallest_fraction(const base::resources& room) const {
    double smallest = 1;
    const auto consider = [&](double free_fraction, bool exists) {
        smallest = exists ? std::min(smallest, free_fraction) : smallest;
    };
    consider(fraction(room.cores, total_.cores), total_.cores.value() > 0);
    consider(fraction(room.memory, total_.memory), total_.memory.value() > 0);
    consider(fraction(room.slots, total_.slots), total_.slots.value() > 0);
    return smallest;
}

double fair_share::team_share(const base::resources& used, base::slot_count slots_elsewhere,
                              double weight) const {
    const double local = dominant_share(used);
    const double remote = std::min(slot_fraction(slots_elsewhere), local * max_elsewhere_factor_);
    return (local + remote) / weight;
}

double fair_share::kind_share(const base::resources& used, double weight) const {
    return dominant_share(used) / weight;
}

double fair_share::entitled_share(double weights) {
    return weights <= 0 ? 0 : 1 / weights;
}

double fair_share::slot_fraction(base::slot_count n) const {
    return fraction(n, total_.slots);
}

}  // namespace cranberrydock::policy
