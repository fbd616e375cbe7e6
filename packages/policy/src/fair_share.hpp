// Weighted dominant shares (dominant resource fairness): a team's share is the largest fraction of
// the cell's capacity, over all resources, that is reserved for its tasks, divided by the team's
// weight.
#pragma once

#include <cranberrydock/base/units.hpp>

namespace cranberrydock::policy {

class fair_share {
public:
    explicit fair_share(double max_elsewhere_factor)
        : max_elsewhere_factor_(max_elsewhere_factor) {}

    void set_capacity(const base::resources& total) { total_ = total; }

    // Returns the largest fraction of the capacity that `used` takes up over all resources, 0 to 1.
    double dominant_share(const base::resources& used) const;

    // Returns the smallest fraction of the capacity that `room` amounts to over cores, memory and
    // slots, 0 to 1.
    double smallest_fraction(const base::resources& room) const;

    // Returns a team's weighted share, including its slots in other cells. Those count at most as a
    // multiple of its use in this cell, so that a team that uses nothing here always goes first
    // here.
    double team_share(const base::resources& used, base::slot_count slots_elsewhere,
                      double weight) const;

    // Returns the weighted share of one of a team's kinds.
    double kind_share(const base::resources& used, double weight) const;

    // Returns the weighted share at which every team has what it is entitled to in this cell.
    // `weights` is the sum over the teams that have tasks here. The use in other cells does not
    // raise it, since otherwise one team could be entitled to the whole cell.
    static double entitled_share(double weights);

private:
    double slot_fraction(base::slot_count n) const;

    double max_elsewhere_factor_;
    base::resources total_;
};

}  // namespace cranberrydock::policy
