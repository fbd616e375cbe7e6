// Selects the next lane: the team with the lowest share, then its lane with the lowest rank. Lanes
// whose heads have the same demand form a group. If no VM has room for a demand, the whole group is
// blocked until room for it appears, so that a full cell is not searched again for each lane. Each
// operation costs O(log teams) plus a scan of one team's lanes, regardless of how many tasks wait
// in them.
#pragma once

#include "task_lane.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cranberrydock::policy {

// The demand of a lane's head.
struct demand {
    base::resources need;
    // If not 0, only this entry has the demand, since more than `need` matters for it: it has VMs
    // to avoid, has a reservation, or is a gang. For a gang `need` is the minimum over its tasks.
    std::uint64_t entry_number = 0;

    friend bool operator<(const demand& a, const demand& b);
    friend bool operator==(const demand& a, const demand& b);
};

// Lanes whose heads have the same demand.
struct demand_group {
    demand shared_demand;
    std::vector<task_lane*> lanes;
    bool blocked = false;
    // VMs that may have room for the demand: those whose free capacity has grown since the group
    // was blocked. nullopt if the group has not been blocked yet, so that any VM may have room.
    std::optional<std::vector<vm_index>> candidates;
    // Time when the group was blocked, if nothing has been placed since then.
    std::optional<base::time_point> starving_since;
};

class ready_order {
public:
    // Adds the lane, or moves it to the position and demand of its head.
    void put(task_lane& lane, std::int64_t position, const demand& head_demand);
    void remove(task_lane& lane);
    // Must be called after team.share has changed.
    void share_changed(team_record& team);

    // Returns the first lane that is not blocked, or null if there is none.
    task_lane* first_lane() const;
    // Returns the team with the lowest share among those with urgent lanes that are not blocked, or
    // null if there is none.
    team_record* first_urgent_team() const;
    // Returns the team with the lowest share among those with blocked lanes, or null if there is
    // none.
    const team_record* first_blocked_team() const;
    static task_lane* first_lane_of(const team_record& team, bool urgent_only);

    // Called when no VM has room for the group's demand.
    void block(demand_group& group, base::time_point now);
    void unblock(demand_group& group);
    // Called when the free capacity of a VM has grown; unblocks the groups whose demand fits.
    void room_grew(vm_index i, const base::resources& room);

    // Groups that are blocked, or that were blocked and can only find room on their candidates.
    const std::vector<demand_group*>& limited() const { return limited_; }

private:
    struct share_order {
        bool operator()(const team_record* a, const team_record* b) const;
    };
    using team_set = std::set<team_record*, share_order>;

    void mark_unblocked(demand_group& group);
    void count_unblocked(task_lane& lane, bool is_unblocked);
    void refresh_membership(team_record& team);

    std::map<demand, demand_group> groups_;
    std::vector<demand_group*> limited_;
    team_set teams_;          // with lanes that are not blocked
    team_set urgent_teams_;   // with urgent lanes that are not blocked
    team_set blocked_teams_;  // with lanes that are blocked
};

}  // namespace cranberrydock::policy
