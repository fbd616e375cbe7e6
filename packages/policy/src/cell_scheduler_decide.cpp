// The decisions of the cell scheduler. `decide` lists the steps.
#include "cell_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::policy {
namespace {

using base::refusal;
using base::refusal_reason;

// Minimum time between two checks for starving tasks.
constexpr base::duration starving_check_interval = base::milliseconds(100);
// Reservations hold at most one in this many of the cell's VMs, unless a gang needs more.
constexpr std::size_t vms_per_hold = 8;

refusal deadline_refusal(const task_timing& timing, base::time_point now) {
    const bool past = timing.deadline && *timing.deadline <= now;
    return {past ? refusal_reason::deadline_passed : refusal_reason::deadline_unreachable, true,
            base::milliseconds(0),
            past ? "the deadline passed while the task waited in the queue"
                 : "the time left until the deadline is shorter than the expected run time"};
}

}  // namespace

std::vector<decision> cell_scheduler::decide(base::time_point now, std::size_t max_decisions) {
    decision_round round{now, max_decisions, {}, 0};
    refresh_capacity();
    end_reservations(now);
    allow_probes(now);
    abandon_expired(round);
    while (round.remaining() > 0) {
        task_lane* next = queues_.next_lane();
        if (next == nullptr || !decide_head(*next, round)) {
            break;
        }
    }
    handle_starving(round);
    return std::move(round.decided);
}

void cell_scheduler::refresh_capacity() {
    if (!capacity_changed_) {
        return;
    }
    capacity_changed_ = false;
    team_table_.set_capacity(vms_.capacity());
    queues_.shares_changed();
}

void cell_scheduler::end_reservations(base::time_point now) {
    while (const auto ended = reservations_.extract_ended(now)) {
        if (ended->entry.live()) {
            ended->entry.task->has_reservation = false;
            queues_.reconsider(*ended->waiting_in);
        }
        for (const hold& it : ended->holds) {
            room_grew(it.vm);
        }
    }
}

void cell_scheduler::allow_probes(base::time_point now) {
    placer_.set_probe_candidates(health_.vms_to_probe(now));
    for (const vm_index i : placer_.probe_candidates()) {
        queues_.room_grew(i, vms_.room_for_probe(i));
    }
}

void cell_scheduler::abandon_expired(decision_round& round) {
    while (round.remaining() > 0) {
        task_record* record = queues_.first_expired(round.now);
        if (record == nullptr) {
            break;
        }
        abandon(*record, deadline_refusal(record->timing, round.now), round);
    }
    while (round.remaining() > 0 && !tasks_of_removed_teams_.empty()) {
        task_record* record = tasks_.find(tasks_of_removed_teams_.back());
        tasks_of_removed_teams_.pop_back();
        if (record != nullptr && !record->running && !record->kind->team->configured) {
            abandon(*record,
                    {refusal_reason::unknown_team, true, base::milliseconds(0),
                     "the team was removed from the configuration"},
                    round);
        }
    }
}

// Places the lane's head, or parks or blocks the lane. Returns false if the head is a gang with
// more tasks than this call has decisions left.
bool cell_scheduler::decide_head(task_lane& next, decision_round& round) {
    if (abandon_head_if_expired(next, round) || queues_.update_demand(next)) {
        return true;
    }
    const queue_entry head = *next.head();
    const std::vector<sized_task> sized_tasks = sized_tasks_of(head);
    if (sized_tasks.size() > round.remaining() && round.placed > 0) {
        return false;
    }
    base::slot_count slots;
    for (const sized_task& it : sized_tasks) {
        slots += it.reserve.slots;
    }
    const reservation* own_reservation = reservations_.find(head.number);
    const base::slot_count held =
        own_reservation != nullptr ? own_reservation->slots : base::slot_count(0);
    if (slots > next.kind().team->slots_free() + held) {
        queues_.park(next, round.now);
        return true;
    }
    const std::vector<vm_index> chosen_vms = reserve_room(next, sized_tasks);
    if (chosen_vms.empty()) {
        queues_.block(next, round.now);
        return true;
    }
    start_tasks(next, sized_tasks, chosen_vms, round);
    return true;
}

// The run time estimate may have changed since the task was queued, so the start deadline is
// checked again.
bool cell_scheduler::abandon_head_if_expired(task_lane& next, decision_round& round) {
    task_record& record = *next.head()->task;
    const kind_record& kind = *record.kind;
    const auto start_deadline = kind.queue->policy->start_deadline(
        record.timing, kind.estimate.run_time(record.timing.expected_time));
    if (!start_deadline || *start_deadline > round.now) {
        return false;
    }
    abandon(record, deadline_refusal(record.timing, round.now), round);
    return true;
}

std::vector<sized_task> cell_scheduler::sized_tasks_of(const queue_entry& head) const {
    std::vector<sized_task> sized_tasks;
    for (task_record* it : task_queues::members(head)) {
        sized_tasks.push_back({it, queues_.reserve_for(*it)});
    }
    return sized_tasks;
}

// A task or gang with a reservation may use the reserved room or any other.
std::vector<vm_index> cell_scheduler::reserve_room(task_lane& next,
                                                   const std::vector<sized_task>& sized_tasks) {
    const queue_entry head = *next.head();
    if (reservations_.find(head.number) == nullptr) {
        const demand_group& group = *next.group;
        const bool only_need_counts = group.shared_demand.entry_number == 0 && group.candidates;
        return placer_.place(sized_tasks, only_need_counts ? &*group.candidates : nullptr);
    }
    reservation own_reservation = reservations_.extract(head.number);
    std::vector<vm_index> chosen_vms = placer_.place(sized_tasks, nullptr);
    if (chosen_vms.empty()) {
        reservations_.restore(std::move(own_reservation));
        return chosen_vms;
    }
    for (const hold& it : own_reservation.holds) {
        room_grew(it.vm);
    }
    return chosen_vms;
}

void cell_scheduler::start_tasks(task_lane& source_lane, const std::vector<sized_task>& sized_tasks,
                                 const std::vector<vm_index>& chosen_vms, decision_round& round) {
    queues_.remove_head(source_lane, round.now);
    for (std::size_t i = 0; i < sized_tasks.size(); ++i) {
        task_record& record = *sized_tasks[i].task;
        start(record, chosen_vms[i], sized_tasks[i].reserve);
        record.started = round.now;
        round.decided.emplace_back(
            placement{*record.id, vms_.at(chosen_vms[i]).id, sized_tasks[i].reserve});
        ++round.placed;
    }
    team_table_.refresh_share(source_lane.kind());
    queues_.team_changed(*source_lane.kind().team);
}

void cell_scheduler::abandon(task_record& record, const refusal& reason, decision_round& round) {
    round.decided.emplace_back(abandonment{*record.id, reason});
    queues_.remove_waiting(record);
    tasks_.remove(record);
}

void cell_scheduler::handle_starving(decision_round& round) {
    if (round.now < next_starving_check_) {
        return;
    }
    next_starving_check_ = round.now + starving_check_interval;
    reserve_for_starving(round.now);
    preempt_batch_for_urgent(round);
}

// The freed room goes to urgent tasks first, since their team is below its share.
void cell_scheduler::preempt_batch_for_urgent(decision_round& round) {
    if (stopping_ >= settings_.max_concurrent_preemptions) {
        return;
    }
    task_lane* urgent = queues_.find_starving_urgent(round.now, settings_.preemption_delay);
    if (urgent == nullptr || urgent->size() <= stopping_) {
        return;
    }
    const std::size_t max_preemptions =
        std::min(urgent->size(), settings_.max_concurrent_preemptions) - stopping_;
    for (task_record* it : preemptor_.select_victims(
             urgent->kind(), urgent->group->shared_demand.need, max_preemptions, round.now)) {
        it->stopping = true;
        ++stopping_;
        round.decided.emplace_back(preemption{*it->id, vms_.at(it->placed_on).id,
                                              "urgent work of team " +
                                                  urgent->kind().team->rules.team.str() +
                                                  " found no VM with enough free capacity"});
    }
}

void cell_scheduler::reserve_for_starving(base::time_point now) {
    std::size_t held = 0;
    std::vector<std::uint64_t> reserved_entries;
    for (const reservation& it : reservations_.list()) {
        held += it.holds.size();
        reserved_entries.push_back(it.entry.number);
    }
    const bool at_limit = reservations_.size() >= settings_.max_reservations ||
                          (held > 0 && held * vms_per_hold >= vms_.known_vms());
    task_lane* lane = at_limit ? nullptr : queues_.find_starving(now, reserved_entries);
    if (lane == nullptr) {
        return;
    }
    const queue_entry head = *lane->head();
    std::vector<base::resources> needs;
    base::slot_count slots;
    for (const sized_task& it : sized_tasks_of(head)) {
        needs.push_back(it.reserve);
        slots += it.reserve.slots;
    }
    const int doublings = std::min(head.task->reservation_count, 10);
    const base::duration lifetime = std::min(settings_.initial_reservation_time * (1 << doublings),
                                             settings_.max_reservation_time);
    ++head.task->reservation_count;
    if (slots <= lane->kind().team->rules.allowance &&
        reservations_.create(head, *lane, needs, now + lifetime)) {
        head.task->has_reservation = true;
        queues_.reconsider(*lane);
    }
}

}  // namespace cranberrydock::policy
