// The order as a set of teams, each with its lanes, beside the groups of equal demand.
#include "ready_order.hpp"

#include <algorithm>
#include <tuple>

namespace cranberrydock::policy {
namespace {

using amounts = std::tuple<base::millicores, base::mebibytes, base::accelerator_count,
                           base::slot_count, std::uint64_t>;

amounts amounts_of(const demand& one) {
    return {one.need.cores, one.need.memory, one.need.accelerators, one.need.slots, one.entry};
}

bool urgent(const lane& one) {
    return one.kind().queue->policy->urgent();
}

// With more candidates than this all VMs are searched.
constexpr std::size_t most_candidates = 32;

// Order is of no matter in the vectors of lanes.
void erase_from(std::vector<lane*>& lanes, lane* one) {
    *std::find(lanes.begin(), lanes.end(), one) = lanes.back();
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

void ready_order::put(lane& one, std::int64_t position, const demand& what) {
    one.position = position;
    if (one.group != nullptr && one.group->what == what) {
        return;
    }
    remove(one);
    demand_group& group = groups_.try_emplace(what).first->second;
    group.what = what;
    group.lanes.push_back(&one);
    one.group = &group;
    one.kind().team->order.lanes.push_back(&one);
    if (!group.blocked) {
        count_open(one, true);
    }
    refresh_membership(*one.kind().team);
}

void ready_order::remove(lane& one) {
    if (one.group == nullptr) {
        return;
    }
    demand_group& group = *one.group;
    if (!group.blocked) {
        count_open(one, false);
    }
    erase_from(group.lanes, &one);
    erase_from(one.kind().team->order.lanes, &one);
    one.group = nullptr;
    refresh_membership(*one.kind().team);
    if (group.lanes.empty()) {
        unblock(group);
        groups_.erase(demand(group.what));
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
    if (team.order.held_up) {
        held_up_.erase(&team);
    }
    team.order.ready = false;
    team.order.urgent = false;
    team.order.held_up = false;
    team.order.share = team.share;
    refresh_membership(team);
}

lane* ready_order::first() const {
    return teams_.empty() ? nullptr : first_of(**teams_.begin(), false);
}

team_record* ready_order::first_urgent() const {
    return urgent_teams_.empty() ? nullptr : *urgent_teams_.begin();
}

const team_record* ready_order::first_held_up() const {
    return held_up_.empty() ? nullptr : *held_up_.begin();
}

lane* ready_order::first_of(const team_record& team, bool urgent_only) {
    lane* result = nullptr;
    for (lane* it : team.order.lanes) {
        if (it->group->blocked || (urgent_only && !urgent(*it))) {
            continue;
        }
        if (result == nullptr || goes_before(*it, *result)) {
            result = it;
        }
    }
    return result;
}

void ready_order::block(demand_group& group, base::time_point now) {
    if (group.blocked) {
        return;
    }
    for (lane* it : group.lanes) {
        count_open(*it, false);
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
    open(group);
}

void ready_order::room_grew(vm_index i, const base::resources& room) {
    for (std::size_t n = limited_.size(); n > 0; --n) {
        demand_group& group = *limited_[n - 1];
        if (!base::fits(group.what.need, room)) {
            continue;
        }
        if (group.candidates->size() >= most_candidates) {
            unblock(group);
            continue;
        }
        group.candidates->push_back(i);
        open(group);
    }
}

void ready_order::open(demand_group& group) {
    if (!group.blocked) {
        return;
    }
    group.blocked = false;
    for (lane* it : group.lanes) {
        count_open(*it, true);
    }
}

void ready_order::count_open(lane& one, bool opens) {
    team_order& order = one.kind().team->order;
    const int change = opens ? 1 : -1;
    order.open += change;
    order.open_urgent += urgent(one) ? change : 0;
    refresh_membership(*one.kind().team);
}

void ready_order::refresh_membership(team_record& team) {
    team_order& order = team.order;
    const auto refresh = [&](team_set& teams, bool& is_in, bool belongs) {
        if (is_in != belongs) {
            is_in = belongs;
            belongs ? void(teams.insert(&team)) : void(teams.erase(&team));
        }
    };
    refresh(teams_, order.ready, order.open > 0);
    refresh(urgent_teams_, order.urgent, order.open_urgent > 0);
    refresh(held_up_, order.held_up, order.lanes.size() > static_cast<std::size_t>(order.open));
}

}  // namespace cranberrydock::policy
