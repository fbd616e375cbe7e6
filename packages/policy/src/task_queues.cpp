// Waiting tasks between their lanes, the order of lanes, and the expiry of deadlines.
#include "task_queues.hpp"

#include <algorithm>
#include <tuple>

namespace cranberrydock::policy {
namespace {

template <typename Unit>
void lower_to(Unit& value, Unit other) {
    value = std::min(value, other);
}

base::resources min_of(base::resources a, const base::resources& b) {
    lower_to(a.cores, b.cores);
    lower_to(a.memory, b.memory);
    lower_to(a.accelerators, b.accelerators);
    lower_to(a.slots, b.slots);
    return a;
}

}  // namespace

void task_queues::join(task_record& one) {
    one.in = &roster_->lane_of(*one.kind, one.need, one.gang != nullptr);
    one.stay = ++numbers_;
    count_queued(one, true);
    const queue_policy& policy = *one.kind->queue->policy;
    const base::duration run_time = one.kind->estimate.run_time(one.timing.expected_time);
    if (const auto when = policy.useless_from(one.timing, run_time)) {
        expiry_.add(*when, one, one.stay);
    }
    if (one.gang == nullptr) {
        enter(one);
    } else {
        one.gang->queued.push_back(&one);
        gang_changed(*one.gang);
    }
    refresh(*one.in);
}

void task_queues::leave(task_record& one) {
    lane& from = *one.in;
    count_queued(one, false);
    withdraw(one);
    if (one.gang != nullptr) {
        auto& queued = one.gang->queued;
        queued.erase(std::find(queued.begin(), queued.end(), &one));
        gang_changed(*one.gang);
    }
    refresh(from);
}

void task_queues::gang_changed(gang_record& gang) {
    if (gang.queued.empty()) {
        return;
    }
    enter_or_withdraw(gang);
    refresh(*gang.queued.front()->in);
}

void task_queues::take_head(lane& from, base::time_point now) {
    const queue_entry entry = *from.head();
    from.pop_head();
    for (task_record* it : members(entry)) {
        count_queued(*it, false);
        it->entry = 0;
        it->kind->drain.left(now, it->kind->tasks_queued);
    }
    if (entry.task->gang != nullptr) {
        entry.task->gang->queued.clear();
    }
    from.group->starving_since.reset();
    refresh(from);
}

lane* task_queues::next() const {
    const team_record* urgent = order_.first_urgent();
    if (urgent != nullptr && roster_->below_share(*urgent)) {
        return next_of_urgent(*urgent);
    }
    lane* first = order_.first();
    return first != nullptr && gives_way(*first->kind().team) ? nullptr : first;
}

// Small tasks fill every gap that ends leave, so that larger ones of teams below their share would
// only ever get room by reservation. So a team above its share leaves a part of the cell idle for
// them, where gaps can grow together.
bool task_queues::gives_way(const team_record& team) const {
    const team_record* held_up = order_.first_held_up();
    return held_up != nullptr && held_up != &team && roster_->below_share(*held_up) &&
           !roster_->below_share(team) &&
           roster_->idle_part(vms_->room_in_all()) < settings_.idle_for_shares;
}

// Urgent work goes before other teams' work, not before its own team's kinds with a smaller share.
lane* task_queues::next_of_urgent(const team_record& team) {
    lane* first = ready_order::first_of(team, false);
    lane* urgent = ready_order::first_of(team, true);
    return first->kind().share < urgent->kind().share ? first : urgent;
}

std::vector<task_record*> task_queues::members(const queue_entry& entry) {
    return entry.task->gang == nullptr ? std::vector<task_record*>{entry.task}
                                       : entry.task->gang->queued;
}

base::resources task_queues::reserve_for(const task_record& one) const {
    if (!settings_.learn_sizes) {
        return one.need;
    }
    const base::resources learnt = one.kind->estimate.reserve(one.need);
    return vms_->large_enough(learnt) ? learnt : one.need;
}

bool task_queues::demand_changed(lane& one) {
    if (demand_of(*one.head()) == one.group->what) {
        return false;
    }
    place_in_order(one);
    return true;
}

void task_queues::park(lane& one, base::time_point now) {
    order_.remove(one);
    one.parked = true;
    if (!one.parked_since) {
        one.parked_since = now;
    }
    parked_.push_back(&one);
}

void task_queues::unblock(lane& one) {
    if (one.group != nullptr) {
        order_.unblock(*one.group);
    }
}

void task_queues::enter_anew(lane& one) {
    unpark(one);
    place_in_order(one);
}

void task_queues::team_changed(team_record& team) {
    order_.share_changed(team);
    for (std::size_t i = parked_.size(); i > 0; --i) {
        if (parked_[i - 1]->kind().team == &team) {
            enter_anew(*parked_[i - 1]);
        }
    }
}

void task_queues::shares_changed() {
    for (const auto& [id, team] : roster_->teams()) {
        team_changed(*team);
    }
}

lane* task_queues::starving(base::time_point now, const std::vector<std::uint64_t>& except) const {
    lane* result = nullptr;
    const auto times_kept = [](lane& it) { return it.head()->task->reservations; };
    const auto goes_first = [&](lane& a, lane& b) {
        const auto key = [&](lane& it) {
            return std::make_tuple(times_kept(it), it.kind().team->share, it.kind().share,
                                   it.position, it.number());
        };
        return key(a) < key(b);
    };
    const auto consider = [&](lane& it) {
        const bool has_one =
            std::find(except.begin(), except.end(), it.head()->number) != except.end();
        if (!has_one && (result == nullptr || goes_first(it, *result))) {
            result = &it;
        }
    };
    for (const demand_group* group : order_.limited()) {
        if (group->blocked && group->starving_since &&
            *group->starving_since + settings_.patience <= now) {
            for (lane* it : group->lanes) {
                consider(*it);
            }
        }
    }
    for (lane* it : parked_) {
        if (it->head() != nullptr && *it->parked_since + settings_.patience <= now) {
            consider(*it);
        }
    }
    return result;
}

lane* task_queues::starving_urgent(base::time_point now, base::duration patience) const {
    lane* result = nullptr;
    base::time_point longest = now - patience;
    for (const demand_group* group : order_.limited()) {
        if (!group->blocked) {
            continue;
        }
        for (lane* it : group->lanes) {
            const base::time_point accepted = it->head()->task->timing.accepted;
            if (it->kind().queue->policy->urgent() && it->head()->task->gang == nullptr &&
                accepted <= longest && roster_->below_share(*it->kind().team)) {
                longest = accepted;
                result = it;
            }
        }
    }
    return result;
}

// Gives the task an entry in its lane: for itself, or for its gang.
void task_queues::enter(task_record& one) {
    one.entry = ++numbers_;
    one.in->push({one.kind->queue->policy->position(one.timing), one.entry, &one});
}

// Keeps the gang's invariant: its first task has an entry just while the gang is complete.
void task_queues::enter_or_withdraw(gang_record& gang) {
    if (gang.queued.empty()) {
        return;
    }
    task_record& first = *gang.queued.front();
    if (!gang.complete()) {
        withdraw(first);
    } else if (first.entry == 0) {
        enter(first);
    }
}

void task_queues::withdraw(task_record& one) {
    if (one.entry != 0) {
        one.entry = 0;
        one.in->note_withdrawn();
    }
}

void task_queues::count_queued(task_record& one, bool joins) {
    team_record& team = *one.kind->team;
    const bool was_active = team.active();
    if (joins) {
        ++team.tasks_queued;
        ++one.kind->tasks_queued;
        team.slots_queued += one.need.slots;
    } else {
        --team.tasks_queued;
        --one.kind->tasks_queued;
        team.slots_queued -= one.need.slots;
        one.stay = 0;
        expiry_.note_gone();
    }
    roster_->refresh_activity(team, was_active);
}

// Enters the lane into the order as its head demands, unless it stands there for the same head.
void task_queues::refresh(lane& one) {
    const queue_entry* head = one.head();
    const std::uint64_t number = head == nullptr ? 0 : head->number;
    if (number != one.head_number) {
        unpark(one);
        place_in_order(one);
    }
}

void task_queues::unpark(lane& one) {
    if (one.parked) {
        one.parked = false;
        parked_.erase(std::find(parked_.begin(), parked_.end(), &one));
    }
}

// Enters the lane by its head, or takes it out when it has none.
void task_queues::place_in_order(lane& one) {
    const queue_entry* head = one.head();
    const std::uint64_t number = head == nullptr ? 0 : head->number;
    if (number != one.head_number) {
        one.head_number = number;
        one.parked_since.reset();
    }
    if (head == nullptr) {
        order_.remove(one);
        return;
    }
    order_.put(one, head->position, demand_of(*head));
}

demand task_queues::demand_of(const queue_entry& entry) const {
    const task_record& one = *entry.task;
    demand result{reserve_for(one), 0};
    if (one.gang != nullptr) {
        for (const task_record* it : one.gang->queued) {
            result.need = min_of(result.need, reserve_for(*it));
        }
    }
    if (one.gang != nullptr || !one.avoid.empty() || one.room_kept) {
        result.entry = entry.number;
    }
    return result;
}

}  // namespace cranberrydock::policy
