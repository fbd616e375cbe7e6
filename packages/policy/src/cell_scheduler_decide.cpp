// How the cell scheduler decides: `decide` lists the steps.
#include "cell_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace cranberrydock::policy {
namespace {

using base::refusal;
using base::refusal_reason;

// How often starving work is looked for.
constexpr base::duration starving_check_interval = base::milliseconds(100);
// Reservations hold at most this part of the cell's VMs, unless it is one gang's.
constexpr std::size_t vms_a_reservation = 8;

refusal too_late(const task_timing& timing, base::time_point now) {
    const bool past = timing.deadline && *timing.deadline <= now;
    return {past ? refusal_reason::deadline_passed : refusal_reason::deadline_unreachable, true,
            base::milliseconds(0),
            past ? "the deadline passed while the task waited in the queue"
                 : "what is left until the deadline is less than the task takes"};
}

}  // namespace

std::vector<decision> cell_scheduler::decide(base::time_point now, std::size_t max_decisions) {
    decision_round round{now, max_decisions, {}, 0};
    refresh_capacity();
    end_reservations(now);
    open_probes(now);
    give_up_useless(round);
    while (round.left() > 0) {
        lane* next = queues_.next();
        if (next == nullptr || !decide_head(*next, round)) {
            break;
        }
    }
    look_after_starving(round);
    return std::move(round.decided);
}

void cell_scheduler::refresh_capacity() {
    if (!capacity_changed_) {
        return;
    }
    capacity_changed_ = false;
    roster_.set_capacity(vms_.capacity());
    queues_.shares_changed();
}

void cell_scheduler::end_reservations(base::time_point now) {
    while (const auto ended = reservations_.take_out_ended(now)) {
        if (ended->entry.counts()) {
            ended->entry.task->room_kept = false;
            queues_.enter_anew(*ended->in);
        }
        for (const hold& it : ended->holds) {
            room_grew(it.vm);
        }
    }
}

void cell_scheduler::open_probes(base::time_point now) {
    placer_.set_probes(health_.due_probes(now));
    for (const vm_index i : placer_.probes()) {
        queues_.room_grew(i, vms_.room_for_probe(i));
    }
}

void cell_scheduler::give_up_useless(decision_round& round) {
    while (round.left() > 0) {
        task_record* one = queues_.first_useless(round.now);
        if (one == nullptr) {
            break;
        }
        give_up(*one, too_late(one->timing, round.now), round);
    }
    while (round.left() > 0 && !of_removed_teams_.empty()) {
        task_record* one = tasks_.find(of_removed_teams_.back());
        of_removed_teams_.pop_back();
        if (one != nullptr && !one->running && !one->kind->team->configured) {
            give_up(*one,
                    {refusal_reason::unknown_team, true, base::milliseconds(0),
                     "the team was removed from the configuration"},
                    round);
        }
    }
}

// Places the lane's head, or sets the lane aside; false when the head is a gang for which this call
// has too few decisions left.
bool cell_scheduler::decide_head(lane& next, decision_round& round) {
    if (give_up_head_if_useless(next, round) || queues_.demand_changed(next)) {
        return true;
    }
    const queue_entry head = *next.head();
    const std::vector<placement_wish> wishes = wishes_of(head);
    if (wishes.size() > round.left() && round.placed > 0) {
        return false;
    }
    base::slot_count slots;
    for (const placement_wish& it : wishes) {
        slots += it.reserve.slots;
    }
    const reservation* own = reservations_.find(head.number);
    const base::slot_count held = own != nullptr ? own->slots : base::slot_count(0);
    if (slots > next.kind().team->slots_free() + held) {
        queues_.park(next, round.now);
        return true;
    }
    const std::vector<vm_index> where = take_room(next, wishes);
    if (where.empty()) {
        queues_.block(next, round.now);
        return true;
    }
    start_all(next, wishes, where, round);
    return true;
}

// What has been learnt since the task was queued may show that it would end too late.
bool cell_scheduler::give_up_head_if_useless(lane& next, decision_round& round) {
    task_record& one = *next.head()->task;
    const kind_record& kind = *one.kind;
    const auto useless_from = kind.queue->policy->useless_from(
        one.timing, kind.estimate.run_time(one.timing.expected_time));
    if (!useless_from || *useless_from > round.now) {
        return false;
    }
    give_up(one, too_late(one.timing, round.now), round);
    return true;
}

std::vector<placement_wish> cell_scheduler::wishes_of(const queue_entry& head) const {
    std::vector<placement_wish> wishes;
    for (task_record* it : task_queues::members(head)) {
        wishes.push_back({it, queues_.reserve_for(*it)});
    }
    return wishes;
}

// Work for which room is kept may use it, or find room elsewhere.
std::vector<vm_index> cell_scheduler::take_room(lane& next,
                                                const std::vector<placement_wish>& wishes) {
    const queue_entry head = *next.head();
    if (reservations_.find(head.number) == nullptr) {
        const demand_group& group = *next.group;
        const bool only_need_counts = group.what.entry == 0 && group.candidates;
        return placer_.take(wishes, only_need_counts ? &*group.candidates : nullptr);
    }
    reservation own = reservations_.take_out(head.number);
    std::vector<vm_index> where = placer_.take(wishes, nullptr);
    if (where.empty()) {
        reservations_.put_back(std::move(own));
        return where;
    }
    for (const hold& it : own.holds) {
        room_grew(it.vm);
    }
    return where;
}

void cell_scheduler::start_all(lane& from, const std::vector<placement_wish>& wishes,
                               const std::vector<vm_index>& where, decision_round& round) {
    queues_.take_head(from, round.now);
    for (std::size_t i = 0; i < wishes.size(); ++i) {
        task_record& one = *wishes[i].task;
        start(one, where[i], wishes[i].reserve);
        one.started = round.now;
        round.decided.emplace_back(placement{*one.id, vms_.at(where[i]).id, wishes[i].reserve});
        ++round.placed;
    }
    roster_.refresh_share(from.kind());
    queues_.team_changed(*from.kind().team);
}

void cell_scheduler::give_up(task_record& one, const refusal& why, decision_round& round) {
    round.decided.emplace_back(giving_up{*one.id, why});
    queues_.leave(one);
    tasks_.remove(one);
}

void cell_scheduler::look_after_starving(decision_round& round) {
    if (round.now < next_starving_check_) {
        return;
    }
    next_starving_check_ = round.now + starving_check_interval;
    keep_room_for_starving(round.now);
    stop_batch_for_urgent(round);
}

// What is stopped makes room that goes to urgent work first, since its team is below its share.
void cell_scheduler::stop_batch_for_urgent(decision_round& round) {
    if (stopping_ >= settings_.most_stopping) {
        return;
    }
    lane* urgent = queues_.starving_urgent(round.now, settings_.urgent_patience);
    if (urgent == nullptr || urgent->size() <= stopping_) {
        return;
    }
    const std::size_t most = std::min(urgent->size(), settings_.most_stopping) - stopping_;
    for (task_record* it :
         preemptor_.pick(urgent->kind(), urgent->group->what.need, most, round.now)) {
        it->stopping = true;
        ++stopping_;
        round.decided.emplace_back(preemption{
            *it->id, vms_.at(it->where).id,
            "urgent work of team " + urgent->kind().team->rules.team.str() + " found no room"});
    }
}

void cell_scheduler::keep_room_for_starving(base::time_point now) {
    std::size_t held = 0;
    std::vector<std::uint64_t> have_room_kept;
    for (const reservation& it : reservations_.list()) {
        held += it.holds.size();
        have_room_kept.push_back(it.entry.number);
    }
    const bool enough = reservations_.size() >= settings_.most_reservations ||
                        (held > 0 && held * vms_a_reservation >= vms_.known_vms());
    lane* one = enough ? nullptr : queues_.starving(now, have_room_kept);
    if (one == nullptr) {
        return;
    }
    const queue_entry head = *one->head();
    std::vector<base::resources> needs;
    base::slot_count slots;
    for (const placement_wish& it : wishes_of(head)) {
        needs.push_back(it.reserve);
        slots += it.reserve.slots;
    }
    const int times = std::min(head.task->reservations, 10);
    const base::duration lasts =
        std::min(settings_.first_reservation * (1 << times), settings_.longest_reservation);
    ++head.task->reservations;
    if (slots <= one->kind().team->rules.allowance &&
        reservations_.make(head, *one, needs, now + lasts)) {
        head.task->room_kept = true;
        queues_.enter_anew(*one);
    }
}

}  // namespace cranberrydock::policy
