// Which lane is next: the team with the lowest share, then its lane with the lowest rank. Lanes
// whose heads have the same demand form a group: when no VM has room for a demand, its whole group
// steps aside until room for it appears, so that a full cell is not searched again for each lane.
// Costs O(log teams) and a look at one team's lanes, whatever the lanes' lengths.
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

// Lanes whose heads have the same demand.
struct demand_group {
    demand what;
    std::vector<lane*> lanes;
    bool blocked = false;
    // VMs that may have room for the demand: those whose room has grown since it was blocked. None:
    // any VM may have, since it was not blocked yet.
    std::optional<std::vector<vm_index>> candidates;
    std::optional<base::time_point> starving_since;  // blocked, and nothing placed since then
};

class ready_order {
public:
    // Enters the lane, or moves it to its head's position and demand.
    void put(lane& one, std::int64_t position, const demand& what);
    void remove(lane& one);
    // The team's share has changed.
    void share_changed(team_record& team);

    // The first lane that is not blocked; null when there is none.
    lane* first() const;
    // The first lane that is not blocked of the team with the lowest share among those that have
    // urgent work which is not blocked; null when there is none.
    team_record* first_urgent() const;
    // The team with the lowest share among those that have blocked lanes; null when there is none.
    const team_record* first_held_up() const;
    static lane* first_of(const team_record& team, bool urgent_only);

    // No VM has room for the group's demand now.
    void block(demand_group& group, base::time_point now);
    void unblock(demand_group& group);
    // The VM's room has grown: unblocks the groups whose demand fits.
    void room_grew(vm_index i, const base::resources& room);

    // Groups that are blocked, or have been and may find room only on their candidates.
    const std::vector<demand_group*>& limited() const { return limited_; }

private:
    struct share_order {
        bool operator()(const team_record* a, const team_record* b) const;
    };
    using team_set = std::set<team_record*, share_order>;

    void open(demand_group& group);
    void count_open(lane& one, bool opens);
    void refresh_membership(team_record& team);

    std::map<demand, demand_group> groups_;
    std::vector<demand_group*> limited_;
    team_set teams_;         // with lanes that are not blocked
    team_set urgent_teams_;  // with urgent ones among those
    team_set held_up_;       // with lanes that are blocked
};

}  // namespace cranberrydock::policy
