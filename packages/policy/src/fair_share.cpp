// The arithmetic of weighted dominant shares.
#include "fair_share.hpp"

#include <algorithm>

namespace cranberrydock::policy {
namespace {

template <typename Unit>
double part(Unit used, Unit total) {
    return total.value() <= 0
               ? 0
               : static_cast<double>(used.value()) / static_cast<double>(total.value());
}

}  // namespace

double fair_share::dominant(const base::resources& used) const {
    return std::max({part(used.cores, total_.cores), part(used.memory, total_.memory),
                     part(used.accelerators, total_.accelerators), part(used.slots, total_.slots)});
}

double fair_share::scarcest(const base::resources& room) const {
    double least = 1;
    const auto consider = [&](double one, bool counts) {
        least = counts ? std::min(least, one) : least;
    };
    consider(part(room.cores, total_.cores), total_.cores.value() > 0);
    consider(part(room.memory, total_.memory), total_.memory.value() > 0);
    consider(part(room.slots, total_.slots), total_.slots.value() > 0);
    return least;
}

double fair_share::of_team(const base::resources& used, base::slot_count elsewhere,
                           double weight) const {
    const double here = dominant(used);
    const double there = std::min(part_of_slots(elsewhere), here * most_elsewhere_);
    return (here + there) / weight;
}

double fair_share::of_kind(const base::resources& used, double weight) const {
    return dominant(used) / weight;
}

double fair_share::entitled(double weights) {
    return weights <= 0 ? 0 : 1 / weights;
}

double fair_share::part_of_slots(base::slot_count n) const {
    return part(n, total_.slots);
}

}  // namespace cranberrydock::policy
