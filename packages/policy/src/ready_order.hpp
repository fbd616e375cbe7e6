// Which lane is next. Lanes are ordered by rank within groups of equal demand: when no VM has room
// for a demand, its whole group steps aside until room for it appears, so that a full cell is not
// searched again for each lane. Costs O(log lanes) each, whatever the lanes' lengths.
#pragma once

#include "lane.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cranberrydock::policy {

// What a lane's head asks for.
struct demand {
    base::resources need;
    // Not 0: only this entry has the demand, since more than its need counts (VMs to avoid, room
    // that is kept for it, or a gang, whose smallest task `need` then is).
    std::uint64_t entry = 0;

    friend bool operator<(const demand& a, const demand& b);
    friend bool operator==(const demand& a, const demand& b);
};

struct lane_order {
    bool operator()(const lane* a, const lane* b) const { return a->rank < b->rank; }
};

// Lanes whose heads have the same demand.
struct demand_group {
    demand what;
    std::set<lane*, lane_order> lanes;
    std::set<lane*, lane_order> urgent;  // those of urgent queues among `lanes`
    lane* front = nullptr;               // the first of `lanes` as entered in the fronts, or null
    lane* urgent_front = nullptr;
    bool blocked = false;
    std::optional<base::time_point> starving_since;  // blocked, and nothing placed since then
};

class ready_order {
public:
    // Enters the lane, or moves it to its new rank and demand.
    void put(lane& one, const lane_rank& rank, const demand& what);
    void remove(lane& one);

    // The first lane that is not blocked; null when there is none.
    lane* first() const;
    lane* first_urgent() const;

    // No VM has room for the group's demand now.
    void block(demand_group& group, base::time_point now);
    void unblock(demand_group& group);
    // Unblocks the groups whose demand fits into `room`.
    void unblock_fitting(const base::resources& room);
    void unblock_all();

    const std::vector<demand_group*>& blocked() const { return blocked_; }

private:
    void drop_fronts(demand_group& group);
    void enter_fronts(demand_group& group);
    void erase_if_empty(demand_group& group);

    std::map<demand, demand_group> groups_;
    std::vector<demand_group*> blocked_;
    // The first lane of each group that is not blocked.
    std::set<lane*, lane_order> fronts_;
    std::set<lane*, lane_order> urgent_fronts_;
};

}  // namespace cranberrydock::policy
