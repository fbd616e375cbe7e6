// Weighted shares by dominant resource: a team's share is the largest part of the cell's capacity,
// over the resources, that its tasks have reserved, divided by its weight.
#pragma once

#include <cranberrydock/base/units.hpp>

namespace cranberrydock::policy {

class fair_share {
public:
    explicit fair_share(double most_elsewhere) : most_elsewhere_(most_elsewhere) {}

    void set_capacity(const base::resources& total) { total_ = total; }

    // The largest part of the capacity that `used` is, over the resources; 0 to 1.
    double dominant(const base::resources& used) const;

    // The smallest part of the capacity that `room` is, over the resources; 0 to 1.
    double scarcest(const base::resources& room) const;

    // A team's weighted share, with what it uses in other cells. That counts at most as a multiple
    // of its use here, so that a team that has nothing here is always first here.
    double of_team(const base::resources& used, base::slot_count elsewhere, double weight) const;

    // A kind's weighted share within its team.
    double of_kind(const base::resources& used, double weight) const;

    // The weighted share at which every team has what it is entitled to of this cell, when
    // `weights` is the sum over the teams that want something here. What teams use in other cells
    // does not raise it: else one of them could be entitled to all of this cell.
    static double entitled(double weights);

private:
    double part_of_slots(base::slot_count n) const;

    double most_elsewhere_;
    base::resources total_;
};

}  // namespace cranberrydock::policy
