// Admission, endings and the books of the cell scheduler; decisions are in
// cell_scheduler_decide.cpp.
#include "cell_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace cranberrydock::policy {
namespace {

using base::refusal;
using base::refusal_reason;

constexpr base::milliseconds retry_when_rate_unknown{1000};
constexpr base::milliseconds shortest_retry{100};
constexpr base::milliseconds longest_retry{60'000};
// A caller that is sent away from a full queue comes back when this part of it has drained.
constexpr double part_to_drain = 0.1;

refusal not_run(refusal_reason reason, std::string detail, base::milliseconds retry_after = {}) {
    return {reason, true, retry_after, std::move(detail)};
}

base::milliseconds retry_after_drain(std::size_t queued, const std::optional<double>& per_second) {
    if (!per_second) {
        return retry_when_rate_unknown;
    }
    const double to_drain = std::max(1.0, static_cast<double>(queued) * part_to_drain);
    const double wait_ms = to_drain / std::max(*per_second, 1e-3) * 1e3;
    const auto longest = static_cast<double>(longest_retry.count());
    return std::max(shortest_retry,
                    base::milliseconds(static_cast<std::int64_t>(std::min(wait_ms, longest))));
}

base::resources excess_over(const base::resources& used, const base::resources& reserved) {
    base::resources excess;
    excess.cores = std::max(used.cores - reserved.cores, base::millicores(0));
    excess.memory = std::max(used.memory - reserved.memory, base::mebibytes(0));
    return excess;
}

bool measured(const base::resources& usage) {
    return usage.cores.value() > 0 || usage.memory.value() > 0;
}

}  // namespace

cell_scheduler::cell_scheduler(const scheduler_settings& settings)
    : settings_(settings),
      roster_(settings),
      health_(settings),
      placer_(vms_, health_),
      preemptor_(tasks_, vms_, roster_),
      reservations_(vms_),
      queues_(roster_, vms_, settings) {}

void cell_scheduler::set_queues(const std::vector<queue_rules>& queues) {
    roster_.set_queues(queues);
    queues_.shares_changed();
}

void cell_scheduler::set_teams(const std::vector<team_rules>& teams) {
    roster_.set_teams(teams);
    queues_.shares_changed();
    of_removed_teams_.clear();
    const bool some_removed = std::any_of(
        roster_.teams().begin(), roster_.teams().end(),
        [](const auto& it) { return !it.second->configured && it.second->tasks_queued > 0; });
    if (some_removed) {
        tasks_.for_each([&](const task_record& one) {
            if (!one.running && !one.kind->team->configured) {
                of_removed_teams_.push_back(*one.id);
            }
        });
    }
}

void cell_scheduler::put_vm(const vm& one) {
    vms_.put(one);
    health_.set_known_vms(vms_.known_vms());
    apply_health_changes();
    capacity_changed_ = true;
    room_grew(vms_.index_of(one.id));
}

void cell_scheduler::remove_vm(const base::vm_id& id) {
    const auto i = vms_.find(id);
    if (!i) {
        return;
    }
    health_.forget(*i);
    vms_.bar(*i, true);
    end_reservations(base::time_point::min());
    vms_.bar(*i, false);
    vms_.remove(*i);
    health_.set_known_vms(vms_.known_vms());
    apply_health_changes();
    capacity_changed_ = true;
}

void cell_scheduler::report_usage(const base::task_id& id, const base::resources& used) {
    task_record* one = tasks_.find(id);
    if (one == nullptr || !one->running) {
        return;
    }
    const base::resources excess = excess_over(used, one->reserved);
    if (excess == one->excess) {
        return;
    }
    if (!measured(one->excess)) {
        one->kind->estimate.add_usage(used, one->need);
    }
    vms_.charge(one->where, excess - one->excess);
    one->excess = excess;
    room_grew(one->where);
}

tl::expected<void, refusal> cell_scheduler::enqueue(const task& one, base::time_point now) {
    if (tasks_.find(one.id) != nullptr) {
        return {};
    }
    if (auto why = refuse(one, now)) {
        return tl::unexpected(std::move(*why));
    }
    queues_.join(tasks_.add(one, roster_.kind_of(one.team, one.queue, one.kind)));
    return {};
}

std::optional<refusal> cell_scheduler::refuse(const task& one, base::time_point now) {
    const queue_record* queue = roster_.configured_queue(one.queue);
    if (queue == nullptr) {
        return not_run(refusal_reason::unknown_queue,
                       "expected a configured queue, found \"" + one.queue.str() + "\"");
    }
    const team_record* team = roster_.configured_team(one.team);
    if (team == nullptr) {
        return not_run(refusal_reason::unknown_team,
                       "expected a configured team, found \"" + one.team.str() + "\"");
    }
    if (!fits_whole(one)) {
        return not_run(refusal_reason::can_never_fit,
                       one.gang_size > 1
                           ? "the cell's VMs could not hold the whole gang even when idle"
                           : "no VM of the cell has the capacity that the task asks for");
    }
    const kind_record& kind = roster_.kind_of(one.team, one.queue, one.kind);
    const auto drained = kind.drain.per_second(now);
    const std::size_t queued = roster::queued_in(*team, *queue);
    if (queued >= queue->rules.max_queued_per_team) {
        return not_run(refusal_reason::queue_full,
                       "the team has its most tasks waiting in this queue",
                       retry_after_drain(queued, drained));
    }
    return queue->policy->refuse(
        {one.accepted, one.deadline, one.expected_time},
        {now, kind.tasks_queued, drained, kind.estimate.run_time(one.expected_time)});
}

// An empty cell queues: its VMs may still be on their way.
bool cell_scheduler::fits_whole(const task& one) const {
    const std::size_t tasks = std::max<std::size_t>(one.gang_size, 1);
    return vms_.known_vms() == 0 || vms_.holds_when_empty(with_a_slot(one.need), tasks) >= tasks;
}

void cell_scheduler::adopt(const task& one, const base::vm_id& where,
                           const base::resources& reserved) {
    task_record* known = tasks_.find(one.id);
    if (known != nullptr && known->running) {
        return;
    }
    if (known != nullptr) {
        queues_.leave(*known);
        tasks_.remove(*known);
    }
    task_record& added = tasks_.add(one, roster_.kind_of(one.team, one.queue, one.kind));
    const vm_index vm = vms_.index_of(where);
    vms_.take(vm, with_a_slot(reserved));
    start(added, vm, with_a_slot(reserved));
    if (added.gang != nullptr) {
        queues_.gang_changed(*added.gang);
    }
    roster_.refresh_share(*added.kind);
    queues_.team_changed(*added.kind->team);
}

bool cell_scheduler::cancel(const base::task_id& id) {
    task_record* one = tasks_.find(id);
    if (one == nullptr || one->running) {
        return false;
    }
    queues_.leave(*one);
    tasks_.remove(*one);
    return true;
}

void cell_scheduler::ended(const task_ended& what, base::time_point now) {
    task_record* one = tasks_.find(what.id);
    if (one == nullptr || !one->running) {
        return;
    }
    kind_record& kind = *one->kind;
    team_record& team = *kind.team;
    const vm_index where = one->where;
    if (what.end == end_kind::completed) {
        kind.estimate.add_run_time(what.ran_for);
        if (measured(what.peak_usage)) {
            kind.estimate.add_usage(what.peak_usage, one->need);
        }
    }
    if (vms_.known(where)) {
        health_.ended(where, one->job, what.end, now);
    }
    placer_.note_ended(*one);
    stopping_ -= one->stopping ? 1 : 0;
    const bool was_active = team.active();
    --team.tasks_running;
    roster_.refresh_activity(team, was_active);
    team.used -= one->reserved;
    kind.used -= one->reserved;
    if (one->gang != nullptr) {
        --one->gang->running;
        queues_.gang_changed(*one->gang);
    }
    vms_.charge(where, base::resources{} - one->excess);
    vms_.give(where, one->reserved);
    tasks_.remove(*one);
    roster_.refresh_share(kind);
    queues_.team_changed(team);
    apply_health_changes();
    room_grew(where);
}

// Counts the task as running; its room on the VM is taken already.
void cell_scheduler::start(task_record& one, vm_index where, const base::resources& reserved) {
    team_record& team = *one.kind->team;
    const bool was_active = team.active();
    one.running = true;
    one.where = where;
    one.reserved = reserved;
    team.used += reserved;
    one.kind->used += reserved;
    ++team.tasks_running;
    roster_.refresh_activity(team, was_active);
    if (one.gang != nullptr) {
        ++one.gang->running;
    }
    placer_.note_running(one);
}

void cell_scheduler::room_grew(vm_index i) {
    queues_.room_grew(i, vms_.room(i));
    for (const reservation& one : reservations_.list()) {
        const bool holds_here = std::any_of(one.holds.begin(), one.holds.end(),
                                            [&](const hold& it) { return it.vm == i; });
        if (holds_here) {
            queues_.unblock(*one.in);
        }
    }
}

void cell_scheduler::apply_health_changes() {
    for (const vm_index i : health_.take_changes()) {
        vms_.bar(i, health_.quarantined(i));
        room_grew(i);
    }
}

std::vector<team_load> cell_scheduler::loads() const {
    std::vector<team_load> result;
    for (const auto& [id, team] : roster_.teams()) {
        result.push_back(
            {id, team->used.slots, team->slots_queued, team->tasks_running, team->tasks_queued});
    }
    return result;
}

std::vector<vm_load> cell_scheduler::vm_loads() const {
    std::vector<vm_load> result;
    for (std::uint32_t n = 0; n < vms_.end(); ++n) {
        const vm_index i(n);
        if (vms_.known(i)) {
            result.push_back({vms_.at(i).id, vms_.used(i), vms_.tasks(i), health_.quarantined(i)});
        }
    }
    return result;
}

waiting_reason cell_scheduler::why_waiting(const base::task_id& id) const {
    const task_record* one = tasks_.find(id);
    if (one == nullptr) {
        return {"it is not queued here"};
    }
    if (one->running) {
        return {"it runs on " + vms_.at(one->where).id.str()};
    }
    if (one->gang != nullptr && !one->gang->complete()) {
        return {"of its gang's " + std::to_string(one->gang->size) + " tasks " +
                std::to_string(one->gang->queued.size()) + " have arrived"};
    }
    const task_record& head = one->gang != nullptr ? *one->gang->queued.front() : *one;
    const lane& in = *one->in;
    if (head.entry != in.head_number) {
        return {std::to_string(in.size() - 1) + " tasks of the same team and kind wait with it"};
    }
    if (in.parked) {
        return {"its team has its allowance of this cell in use"};
    }
    if (reservations_.find(head.entry) != nullptr) {
        return {"room is kept for it on VMs where other tasks still run"};
    }
    if (in.group != nullptr && in.group->blocked) {
        return {"no VM has room for it"};
    }
    return {"tasks of teams with a smaller share go first"};
}

std::unique_ptr<scheduler> make_scheduler(const scheduler_settings& settings) {
    return std::make_unique<cell_scheduler>(settings);
}

}  // namespace cranberrydock::policy
