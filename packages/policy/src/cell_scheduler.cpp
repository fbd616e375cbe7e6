// Admission, completion and bookkeeping of the cell scheduler. The decisions are in
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

constexpr base::milliseconds retry_after_if_rate_unknown{1000};
constexpr base::milliseconds min_retry_after{100};
constexpr base::milliseconds max_retry_after{60'000};
// A caller that is refused by a full queue should retry when this fraction of the queue has
// drained.
constexpr double fraction_to_drain = 0.1;

refusal not_run_refusal(refusal_reason reason, std::string detail,
                        base::milliseconds retry_after = {}) {
    return {reason, true, retry_after, std::move(detail)};
}

base::milliseconds retry_after_drain(std::size_t queued, const std::optional<double>& per_second) {
    if (!per_second) {
        return retry_after_if_rate_unknown;
    }
    const double to_drain = std::max(1.0, static_cast<double>(queued) * fraction_to_drain);
    const double wait_ms = to_drain / std::max(*per_second, 1e-3) * 1e3;
    const auto longest = static_cast<double>(max_retry_after.count());
    return std::max(min_retry_after,
                    base::milliseconds(static_cast<std::int64_t>(std::min(wait_ms, longest))));
}

base::resources excess_over(const base::resources& used, const base::resources& reserved) {
    base::resources excess;
    excess.cores = std::max(used.cores - reserved.cores, base::millicores(0));
    excess.memory = std::max(used.memory - reserved.memory, base::mebibytes(0));
    return excess;
}

bool has_usage(const base::resources& usage) {
    return usage.cores.value() > 0 || usage.memory.value() > 0;
}

}  // namespace

cell_scheduler::cell_scheduler(const scheduler_settings& settings)
    : settings_(settings),
      team_table_(settings),
      health_(settings),
      placer_(vms_, health_),
      preemptor_(tasks_, vms_, team_table_),
      reservations_(vms_),
      queues_(team_table_, vms_, settings) {}

void cell_scheduler::set_queues(const std::vector<queue_settings>& queues) {
    team_table_.set_queues(queues);
    queues_.shares_changed();
}

void cell_scheduler::set_teams(const std::vector<team_settings>& teams) {
    team_table_.set_teams(teams);
    queues_.shares_changed();
    tasks_of_removed_teams_.clear();
    const bool some_removed = std::any_of(
        team_table_.teams().begin(), team_table_.teams().end(),
        [](const auto& it) { return !it.second->configured && it.second->tasks_queued > 0; });
    if (some_removed) {
        tasks_.for_each([&](const task_record& record) {
            if (!record.running && !record.kind->team->configured) {
                tasks_of_removed_teams_.push_back(*record.id);
            }
        });
    }
}

void cell_scheduler::set_vm(const vm& info) {
    vms_.put(info);
    health_.set_known_vms(vms_.known_vms());
    apply_health_changes();
    capacity_changed_ = true;
    room_grew(vms_.index_of(info.id));
}

void cell_scheduler::remove_vm(const base::vm_id& id) {
    const auto i = vms_.find(id);
    if (!i) {
        return;
    }
    health_.forget(*i);
    vms_.set_excluded(*i, true);
    end_reservations(base::time_point::min());
    vms_.set_excluded(*i, false);
    vms_.remove(*i);
    health_.set_known_vms(vms_.known_vms());
    apply_health_changes();
    capacity_changed_ = true;
}

void cell_scheduler::report_usage(const base::task_id& id, const base::resources& used) {
    task_record* record = tasks_.find(id);
    if (record == nullptr || !record->running) {
        return;
    }
    const base::resources excess = excess_over(used, record->reserved);
    if (excess == record->excess) {
        return;
    }
    if (!has_usage(record->excess)) {
        record->kind->estimate.add_usage(used, record->need);
    }
    vms_.adjust_used(record->placed_on, excess - record->excess);
    record->excess = excess;
    room_grew(record->placed_on);
}

tl::expected<void, refusal> cell_scheduler::enqueue(const task& new_task, base::time_point now) {
    if (tasks_.find(new_task.id) != nullptr) {
        return {};
    }
    if (auto refused = refuse(new_task, now)) {
        return tl::unexpected(std::move(*refused));
    }
    queues_.add_waiting(
        tasks_.add(new_task, team_table_.kind_of(new_task.team, new_task.queue, new_task.kind)));
    return {};
}

std::optional<refusal> cell_scheduler::refuse(const task& new_task, base::time_point now) {
    const queue_record* queue = team_table_.configured_queue(new_task.queue);
    if (queue == nullptr) {
        return not_run_refusal(
            refusal_reason::unknown_queue,
            "expected a configured queue, found \"" + new_task.queue.str() + "\"");
    }
    const team_record* team = team_table_.configured_team(new_task.team);
    if (team == nullptr) {
        return not_run_refusal(refusal_reason::unknown_team,
                               "expected a configured team, found \"" + new_task.team.str() + "\"");
    }
    if (!fits_when_empty(new_task)) {
        return not_run_refusal(
            refusal_reason::can_never_fit,
            new_task.gang_size > 1
                ? "the cell's VMs could not run all tasks of the gang at once, even if idle"
                : "no VM of the cell has the capacity that the task requests");
    }
    const kind_record& kind = team_table_.kind_of(new_task.team, new_task.queue, new_task.kind);
    const auto drained = kind.drain.per_second(now);
    const std::size_t queued = team_table::queued_in(*team, *queue);
    if (queued >= queue->rules.max_queued_per_team) {
        return not_run_refusal(refusal_reason::queue_full,
                               "the team has reached its limit of waiting tasks in this queue",
                               retry_after_drain(queued, drained));
    }
    return queue->policy->refuse(
        {new_task.accepted, new_task.deadline, new_task.expected_time},
        {now, kind.tasks_queued, drained, kind.estimate.run_time(new_task.expected_time)});
}

// A cell without VMs accepts every task: its VMs may not have been added yet.
bool cell_scheduler::fits_when_empty(const task& new_task) const {
    const std::size_t tasks = std::max<std::size_t>(new_task.gang_size, 1);
    return vms_.known_vms() == 0 ||
           vms_.tasks_when_empty(with_at_least_one_slot(new_task.need), tasks) >= tasks;
}

void cell_scheduler::adopt(const task& running_task, const base::vm_id& on_vm,
                           const base::resources& reserved) {
    task_record* known = tasks_.find(running_task.id);
    if (known != nullptr && known->running) {
        return;
    }
    if (known != nullptr) {
        queues_.remove_waiting(*known);
        tasks_.remove(*known);
    }
    task_record& added =
        tasks_.add(running_task,
                   team_table_.kind_of(running_task.team, running_task.queue, running_task.kind));
    const vm_index vm = vms_.index_of(on_vm);
    vms_.add_task(vm, with_at_least_one_slot(reserved));
    start(added, vm, with_at_least_one_slot(reserved));
    if (added.gang != nullptr) {
        queues_.gang_changed(*added.gang);
    }
    team_table_.refresh_share(*added.kind);
    queues_.team_changed(*added.kind->team);
}

bool cell_scheduler::cancel(const base::task_id& id) {
    task_record* record = tasks_.find(id);
    if (record == nullptr || record->running) {
        return false;
    }
    queues_.remove_waiting(*record);
    tasks_.remove(*record);
    return true;
}

void cell_scheduler::record_completion(const task_completion& completion, base::time_point now) {
    task_record* record = tasks_.find(completion.id);
    if (record == nullptr || !record->running) {
        return;
    }
    kind_record& kind = *record->kind;
    team_record& team = *kind.team;
    const vm_index placed_on = record->placed_on;
    if (completion.kind == completion_kind::completed) {
        kind.estimate.add_run_time(completion.run_time);
        if (has_usage(completion.peak_usage)) {
            kind.estimate.add_usage(completion.peak_usage, record->need);
        }
    }
    if (vms_.known(placed_on)) {
        health_.record_completion(placed_on, record->job, completion.kind, now);
    }
    placer_.record_end(*record);
    stopping_ -= record->stopping ? 1 : 0;
    const bool was_active = team.active();
    --team.tasks_running;
    team_table_.refresh_activity(team, was_active);
    team.used -= record->reserved;
    kind.used -= record->reserved;
    if (record->gang != nullptr) {
        --record->gang->running;
        queues_.gang_changed(*record->gang);
    }
    vms_.adjust_used(placed_on, base::resources{} - record->excess);
    vms_.remove_task(placed_on, record->reserved);
    tasks_.remove(*record);
    team_table_.refresh_share(kind);
    queues_.team_changed(team);
    apply_health_changes();
    room_grew(placed_on);
}

// Counts the task as running. The caller has already reserved its room on the VM.
void cell_scheduler::start(task_record& record, vm_index target, const base::resources& reserved) {
    team_record& team = *record.kind->team;
    const bool was_active = team.active();
    record.running = true;
    record.placed_on = target;
    record.reserved = reserved;
    team.used += reserved;
    record.kind->used += reserved;
    ++team.tasks_running;
    team_table_.refresh_activity(team, was_active);
    if (record.gang != nullptr) {
        ++record.gang->running;
    }
    placer_.record_start(record);
}

void cell_scheduler::room_grew(vm_index i) {
    queues_.room_grew(i, vms_.room(i));
    for (const reservation& listed : reservations_.list()) {
        const bool holds_here = std::any_of(listed.holds.begin(), listed.holds.end(),
                                            [&](const hold& it) { return it.vm == i; });
        if (holds_here) {
            queues_.unblock(*listed.waiting_in);
        }
    }
}

void cell_scheduler::apply_health_changes() {
    for (const vm_index i : health_.take_changes()) {
        vms_.set_excluded(i, health_.quarantined(i));
        room_grew(i);
    }
}

std::vector<team_load> cell_scheduler::loads() const {
    std::vector<team_load> result;
    for (const auto& [id, team] : team_table_.teams()) {
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
    const task_record* record = tasks_.find(id);
    if (record == nullptr) {
        return {"the task is not queued in this cell"};
    }
    if (record->running) {
        return {"the task runs on " + vms_.at(record->placed_on).id.str()};
    }
    if (record->gang != nullptr && !record->gang->complete()) {
        return {"the task waits for its gang of " + std::to_string(record->gang->size) +
                " tasks, of which " + std::to_string(record->gang->queued.size()) + " are queued"};
    }
    const task_record& head = record->gang != nullptr ? *record->gang->queued.front() : *record;
    const task_lane& lane = *record->waiting_in;
    if (head.entry_number != lane.head_number) {
        return {std::to_string(lane.size() - 1) +
                " other tasks of the same team and kind wait with the task"};
    }
    if (lane.parked) {
        return {"the team's allowance in this cell is used up"};
    }
    if (reservations_.find(head.entry_number) != nullptr) {
        return {"the task has a reservation on VMs where other tasks still run"};
    }
    if (lane.group != nullptr && lane.group->blocked) {
        return {"no VM has enough free capacity for the task"};
    }
    return {"tasks of teams with a smaller share of the cell go first"};
}

std::unique_ptr<scheduler> make_scheduler(const scheduler_settings& settings) {
    return std::make_unique<cell_scheduler>(settings);
}

}  // namespace cranberrydock::policy
