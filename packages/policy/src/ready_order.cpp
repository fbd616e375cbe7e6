// The order is a set of teams sorted by share, each with its lanes. Lanes are also grouped by the
// demand of their heads.
#include "ready_order.hpp"

#include <algorithm>
#include <tuple>

namespace cranberrydock::policy {
namespace {

using amounts = std::tuple<base::millicores, base::mebibytes, base::accelerator_count,
                           base::slot_count, std::uint64_t>;

amounts amounts_of(const demand& value) {
    return {value.need.cores, value.need.memory, value.need.accelerators, value.need.slots,
            value.entry_number};
}

bool urgent(const task_lane& lane) {
    return lane.kind().queue->policy->urgent();
}

// A group with more candidates than this searches all VMs.
constexpr std::size_t max_candidates = 32;

// The order of the lanes in the vector does not matter.
void erase_from(std::vector<task_lane*>& lanes, task_lane* lane) {
    *std::find(lanes.begin(), lanes.end(), lane) = lanes.back();
    lanes.pop_back();
}

}  // namespace

bool operator<(const demand& a, const demand& b) {
    return amounts_of(a) < amounts_of(b);
}
bool operator==(const demand& a, const demand& b) {
    return amounts_of(a) == amounts_of(b);
}

bool ready_order::share_order::operator()(const team_record* a, const team_record* b) const {
    return std::tie(a->order.share, a->rules.team) < std::tie(b->order.share, b->rules.team);
}

void ready_order::put(task_lane& lane, std::int64_t position, const demand& head_demand) {
    lane.position = position;
    if (lane.group != nullptr && lane.group->shared_demand == head_demand) {
        return;
    }
    remove(lane);
    demand_group& group = groups_.try_emplace(head_demand).first->second;
    group.shared_demand = head_demand;
    group.lanes.push_back(&lane);
    lane.group = &group;
    lane.kind().team->order.lanes.push_back(&lane);
    if (!group.blocked) {
        count_unblocked(lane, true);
    }
    refresh_membership(*lane.kind().team);
}

void ready_order::remove(task_lane& lane) {
    if (lane.group == nullptr) {
        return;
    }
    demand_group& group = *lane.group;
    if (!group.blocked) {
        count_unblocked(lane, false);
    }
    erase_from(group.lanes, &lane);
    erase_from(lane.kind().team->order.lanes, &lane);
    lane.group = nullptr;
    refresh_membership(*lane.kind().team);
    if (group.lanes.empty()) {
        unblock(group);
        groups_.erase(demand(group.shared_demand));
    }
}

void ready_order::share_changed(team_record& team) {
    if (team.order.share == team.share) {
        return;
    }
    if (team.order.ready) {
        teams_.erase(&team);
    }
    if (team.order.urgent) {
        urgent_teams_.erase(&team);
    }
    if (team.order.has_blocked) {
        blocked_teams_.erase(&team);
    }
    team.order.ready = false;
    team.order.urgent = false;
    team.order.has_blocked = false;
    team.order.share = team.share;
    refresh_membership(team);
}

task_lane* ready_order::first_lane() const {
    return teams_.empty() ? nullptr : first_lane_of(**teams_.begin(), false);
}

team_record* ready_order::first_urgent_team() const {
    return urgent_teams_.empty() ? nullptr : *urgent_teams_.begin();
}

const team_record* ready_order::first_blocked_team() const {
    return blocked_teams_.empty() ? nullptr : *blocked_teams_.begin();
}

task_lane* ready_order::first_lane_of(const team_record& team, bool urgent_only) {
    task_lane* result = nullptr;
    for (task_lane* it : team.order.lanes) {
        if (it->group->blocked || (urgent_only && !urgent(*it))) {
            continue;
        }
        if (result == nullptr || precedes(*it, *result)) {
            result = it;
        }
    }
    return result;
}

void ready_order::block(demand_group& group, base::time_point now) {
    if (group.blocked) {
        return;
    }
    for (task_lane* it : group.lanes) {
        count_unblocked(*it, false);
    }
    group.blocked = true;
    if (!group.starving_since) {
        group.starving_since = now;
    }
    if (!group.candidates) {
        limited_.push_back(&group);
    }
    group.candidates.emplace();
}

void ready_order::unblock(demand_group& group) {
    if (group.candidates) {
        *std::find(limited_.begin(), limited_.end(), &group) = limited_.back();
        limited_.pop_back();
        group.candidates.reset();
    }
    mark_unblocked(group);
}

void ready_order::room_grew(vm_index i, const base::resources& room) {
    for (std::size_t n = limited_.size(); n > 0; --n) {
        demand_group& group = *limited_[n - 1];
        if (!base::fits(group.shared_demand.need, room)) {
            continue;
        }
        if (group.candidates->size() >= max_candidates) {
            unblock(group);
            continue;
        }
        group.candidates->push_back(i);
        mark_unblocked(group);
    }
}

void ready_order::mark_unblocked(demand_group& group) {
    if (!group.blocked) {
        return;
    }
    group.blocked = false;
    for (task_lane* it : group.lanes) {
        count_unblocked(*it, true);
    }
}

void ready_order::count_unblocked(task_lane& lane, bool is_unblocked) {
    team_order& order = lane.kind().team->order;
    const int change = is_unblocked ? 1 : -1;
    order.unblocked += change;
    order.unblocked_urgent += urgent(lane) ? change : 0;
    refresh_membership(*lane.kind().team);
}

void ready_order::refresh_membership(team_record& team) {
    team_order& order = team.order;
    const auto refresh = [&](team_set& teams, bool& contained, bool belongs) {
        if (contained != belongs) {
            contained = belongs;
            belongs ? void(teams.insert(&team)) : void(teams.erase(&team));
        }
    };
    refresh(teams_, order.ready, order.unblocked > 0);
    refresh(urgent_teams_, order.urgent, order.unblocked_urgent > 0);
    refresh(blocked_teams_, order.has_blocked,
            order.lanes.size() > static_cast<std::size_t>(order.unblocked));
}

}  // namespace cranberrydock::policy
