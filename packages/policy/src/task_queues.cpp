// Connects waiting tasks with their lanes, the order of lanes, and the start deadlines.
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

void task_queues::add_waiting(task_record& record) {
    record.waiting_in = &team_table_->lane_of(*record.kind, record.need, record.gang != nullptr);
    record.stay_number = ++last_number_;
    count_queued(record, true);
    const queue_policy& policy = *record.kind->queue->policy;
    const base::duration run_time = record.kind->estimate.run_time(record.timing.expected_time);
    if (const auto when = policy.start_deadline(record.timing, run_time)) {
        expiry_queue_.add(*when, record, record.stay_number);
    }
    if (record.gang == nullptr) {
        add_entry(record);
    } else {
        record.gang->queued.push_back(&record);
        gang_changed(*record.gang);
    }
    update_if_head_changed(*record.waiting_in);
}

void task_queues::remove_waiting(task_record& record) {
    task_lane& source_lane = *record.waiting_in;
    count_queued(record, false);
    withdraw_entry(record);
    if (record.gang != nullptr) {
        auto& queued = record.gang->queued;
        queued.erase(std::find(queued.begin(), queued.end(), &record));
        gang_changed(*record.gang);
    }
    update_if_head_changed(source_lane);
}

void task_queues::gang_changed(gang_record& gang) {
    if (gang.queued.empty()) {
        return;
    }
    update_gang_entry(gang);
    update_if_head_changed(*gang.queued.front()->waiting_in);
}

void task_queues::remove_head(task_lane& source_lane, base::time_point now) {
    const queue_entry entry = *source_lane.head();
    source_lane.pop_head();
    for (task_record* it : members(entry)) {
        count_queued(*it, false);
        it->entry_number = 0;
        it->kind->drain.record_departure(now, it->kind->tasks_queued);
    }
    if (entry.task->gang != nullptr) {
        entry.task->gang->queued.clear();
    }
    source_lane.group->starving_since.reset();
    update_if_head_changed(source_lane);
}

task_lane* task_queues::next_lane() const {
    const team_record* urgent = order_.first_urgent_team();
    if (urgent != nullptr && team_table_->below_share(*urgent)) {
        return next_urgent_lane(*urgent);
    }
    task_lane* first = order_.first_lane();
    return first != nullptr && must_yield(*first->kind().team) ? nullptr : first;
}

// Small tasks fill every gap that ended tasks leave, so that larger tasks of teams below their
// share would only ever get room by reservation. So a team above its share leaves a part of the
// cell idle, where gaps for these larger tasks can grow.
bool task_queues::must_yield(const team_record& team) const {
    const team_record* blocked_team = order_.first_blocked_team();
    return blocked_team != nullptr && blocked_team != &team &&
           team_table_->below_share(*blocked_team) && !team_table_->below_share(team) &&
           team_table_->idle_fraction(vms_->total_room()) < settings_.idle_fraction_for_shares;
}

// Urgent work goes before the work of other teams, but not before kinds of its own team that have a
// smaller share.
task_lane* task_queues::next_urgent_lane(const team_record& team) {
    task_lane* first = ready_order::first_lane_of(team, false);
    task_lane* urgent = ready_order::first_lane_of(team, true);
    return first->kind().share < urgent->kind().share ? first : urgent;
}

std::vector<task_record*> task_queues::members(const queue_entry& entry) {
    return entry.task->gang == nullptr ? std::vector<task_record*>{entry.task}
                                       : entry.task->gang->queued;
}

base::resources task_queues::reserve_for(const task_record& record) const {
    if (!settings_.learn_task_sizes) {
        return record.need;
    }
    const base::resources estimated = record.kind->estimate.reserve(record.need);
    return vms_->fits_some_vm(estimated) ? estimated : record.need;
}

bool task_queues::update_demand(task_lane& lane) {
    if (demand_of(*lane.head()) == lane.group->shared_demand) {
        return false;
    }
    update_position(lane);
    return true;
}

void task_queues::park(task_lane& lane, base::time_point now) {
    order_.remove(lane);
    lane.parked = true;
    if (!lane.parked_since) {
        lane.parked_since = now;
    }
    parked_.push_back(&lane);
}

void task_queues::unblock(task_lane& lane) {
    if (lane.group != nullptr) {
        order_.unblock(*lane.group);
    }
}

void task_queues::reconsider(task_lane& lane) {
    unpark(lane);
    update_position(lane);
}

void task_queues::team_changed(team_record& team) {
    order_.share_changed(team);
    for (std::size_t i = parked_.size(); i > 0; --i) {
        if (parked_[i - 1]->kind().team == &team) {
            reconsider(*parked_[i - 1]);
        }
    }
}

void task_queues::shares_changed() {
    for (const auto& [id, team] : team_table_->teams()) {
        team_changed(*team);
    }
}

task_lane* task_queues::find_starving(base::time_point now,
                                      const std::vector<std::uint64_t>& reserved_entries) const {
    task_lane* result = nullptr;
    const auto times_reserved = [](task_lane& it) { return it.head()->task->reservation_count; };
    const auto ranks_before = [&](task_lane& a, task_lane& b) {
        const auto key = [&](task_lane& it) {
            return std::make_tuple(times_reserved(it), it.kind().team->share, it.kind().share,
                                   it.position, it.number());
        };
        return key(a) < key(b);
    };
    const auto consider = [&](task_lane& it) {
        const bool already_reserved = std::find(reserved_entries.begin(), reserved_entries.end(),
                                                it.head()->number) != reserved_entries.end();
        if (!already_reserved && (result == nullptr || ranks_before(it, *result))) {
            result = &it;
        }
    };
    for (const demand_group* group : order_.limited()) {
        if (group->blocked && group->starving_since &&
            *group->starving_since + settings_.reservation_delay <= now) {
            for (task_lane* it : group->lanes) {
                consider(*it);
            }
        }
    }
    for (task_lane* it : parked_) {
        if (it->head() != nullptr && *it->parked_since + settings_.reservation_delay <= now) {
            consider(*it);
        }
    }
    return result;
}

task_lane* task_queues::find_starving_urgent(base::time_point now, base::duration min_wait) const {
    task_lane* result = nullptr;
    base::time_point longest = now - min_wait;
    for (const demand_group* group : order_.limited()) {
        if (!group->blocked) {
            continue;
        }
        for (task_lane* it : group->lanes) {
            const base::time_point accepted = it->head()->task->timing.accepted;
            if (it->kind().queue->policy->urgent() && it->head()->task->gang == nullptr &&
                accepted <= longest && team_table_->below_share(*it->kind().team)) {
                longest = accepted;
                result = it;
            }
        }
    }
    return result;
}

// Adds the lane entry for a single task or for a complete gang.
void task_queues::add_entry(task_record& record) {
    record.entry_number = ++last_number_;
    record.waiting_in->push(
        {record.kind->queue->policy->position(record.timing), record.entry_number, &record});
}

// Maintains the gang's invariant: its first task has an entry if and only if the gang is complete.
void task_queues::update_gang_entry(gang_record& gang) {
    if (gang.queued.empty()) {
        return;
    }
    task_record& first = *gang.queued.front();
    if (!gang.complete()) {
        withdraw_entry(first);
    } else if (first.entry_number == 0) {
        add_entry(first);
    }
}

void task_queues::withdraw_entry(task_record& record) {
    if (record.entry_number != 0) {
        record.entry_number = 0;
        record.waiting_in->record_withdrawal();
    }
}

void task_queues::count_queued(task_record& record, bool added) {
    team_record& team = *record.kind->team;
    const bool was_active = team.active();
    if (added) {
        ++team.tasks_queued;
        ++record.kind->tasks_queued;
        team.slots_queued += record.need.slots;
    } else {
        --team.tasks_queued;
        --record.kind->tasks_queued;
        team.slots_queued -= record.need.slots;
        record.stay_number = 0;
        expiry_queue_.record_removal();
    }
    team_table_->refresh_activity(team, was_active);
}

// Updates the lane's place in the order if the lane has another head than before.
void task_queues::update_if_head_changed(task_lane& lane) {
    const queue_entry* head = lane.head();
    const std::uint64_t number = head == nullptr ? 0 : head->number;
    if (number != lane.head_number) {
        unpark(lane);
        update_position(lane);
    }
}

void task_queues::unpark(task_lane& lane) {
    if (lane.parked) {
        lane.parked = false;
        parked_.erase(std::find(parked_.begin(), parked_.end(), &lane));
    }
}

// Puts the lane into the order by its head, or removes it from the order if it has none.
void task_queues::update_position(task_lane& lane) {
    const queue_entry* head = lane.head();
    const std::uint64_t number = head == nullptr ? 0 : head->number;
    if (number != lane.head_number) {
        lane.head_number = number;
        lane.parked_since.reset();
    }
    if (head == nullptr) {
        order_.remove(lane);
        return;
    }
    order_.put(lane, head->position, demand_of(*head));
}

demand task_queues::demand_of(const queue_entry& entry) const {
    const task_record& record = *entry.task;
    demand result{reserve_for(record), 0};
    if (record.gang != nullptr) {
        for (const task_record* it : record.gang->queued) {
            result.need = min_of(result.need, reserve_for(*it));
        }
    }
    if (record.gang != nullptr || !record.avoid.empty() || record.has_reservation) {
        result.entry_number = entry.number;
    }
    return result;
}

}  // namespace cranberrydock::policy
