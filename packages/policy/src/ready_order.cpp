// The order as sets of lanes: one a demand, and one over the demands' first lanes.
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

}  // namespace

bool operator<(const demand& a, const demand& b) {
    return amounts_of(a) < amounts_of(b);
}
bool operator==(const demand& a, const demand& b) {
    return amounts_of(a) == amounts_of(b);
}

void ready_order::put(lane& one, const lane_rank& rank, const demand& what) {
    demand_group* group = one.group;
    if (group != nullptr && group->what == what) {
        drop_fronts(*group);
        group->lanes.erase(&one);
        group->urgent.erase(&one);
    } else {
        remove(one);
        group = &groups_.try_emplace(what).first->second;
        group->what = what;
        drop_fronts(*group);
    }
    one.rank = rank;
    one.group = group;
    group->lanes.insert(&one);
    if (one.kind().queue->policy->urgent()) {
        group->urgent.insert(&one);
    }
    enter_fronts(*group);
}

void ready_order::remove(lane& one) {
    if (one.group == nullptr) {
        return;
    }
    demand_group& group = *one.group;
    drop_fronts(group);
    group.lanes.erase(&one);
    group.urgent.erase(&one);
    one.group = nullptr;
    enter_fronts(group);
    erase_if_empty(group);
}

lane* ready_order::first() const {
    return fronts_.empty() ? nullptr : *fronts_.begin();
}

lane* ready_order::first_urgent() const {
    return urgent_fronts_.empty() ? nullptr : *urgent_fronts_.begin();
}

void ready_order::block(demand_group& group, base::time_point now) {
    if (group.blocked) {
        return;
    }
    drop_fronts(group);
    group.blocked = true;
    if (!group.starving_since) {
        group.starving_since = now;
    }
    blocked_.push_back(&group);
}

void ready_order::unblock(demand_group& group) {
    if (!group.blocked) {
        return;
    }
    group.blocked = false;
    blocked_.erase(std::find(blocked_.begin(), blocked_.end(), &group));
    enter_fronts(group);
}

void ready_order::unblock_fitting(const base::resources& room) {
    for (std::size_t i = blocked_.size(); i > 0; --i) {
        if (base::fits(blocked_[i - 1]->what.need, room)) {
            unblock(*blocked_[i - 1]);
        }
    }
}

void ready_order::unblock_all() {
    while (!blocked_.empty()) {
        unblock(*blocked_.back());
    }
}

void ready_order::drop_fronts(demand_group& group) {
    if (group.front != nullptr) {
        fronts_.erase(group.front);
        group.front = nullptr;
    }
    if (group.urgent_front != nullptr) {
        urgent_fronts_.erase(group.urgent_front);
        group.urgent_front = nullptr;
    }
}

void ready_order::enter_fronts(demand_group& group) {
    if (group.blocked) {
        return;
    }
    if (!group.lanes.empty()) {
        group.front = *group.lanes.begin();
        fronts_.insert(group.front);
    }
    if (!group.urgent.empty()) {
        group.urgent_front = *group.urgent.begin();
        urgent_fronts_.insert(group.urgent_front);
    }
}

void ready_order::erase_if_empty(demand_group& group) {
    if (!group.lanes.empty()) {
        return;
    }
    unblock(group);
    groups_.erase(group.what);
}

}  // namespace cranberrydock::policy
