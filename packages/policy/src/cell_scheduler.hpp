// The scheduler of one cell: admission to queues, decisions in order of shares, and records of what
// runs on which VM. It composes the other classes of this package and keeps them consistent; each
// scheduling rule is in the class that it belongs to.
#pragma once

#include <cranberrydock/policy/scheduler.hpp>

#include "placer.hpp"
#include "preemptor.hpp"
#include "reservations.hpp"
#include "task_queues.hpp"
#include "task_store.hpp"
#include "team_table.hpp"
#include "vm_health.hpp"
#include "vm_table.hpp"

#include <vector>

namespace cranberrydock::policy {

class cell_scheduler final : public scheduler {
public:
    explicit cell_scheduler(const scheduler_settings& settings);

    void set_queues(const std::vector<queue_settings>& queues) override;
    void set_teams(const std::vector<team_settings>& teams) override;
    void set_vm(const vm& info) override;
    void remove_vm(const base::vm_id& id) override;
    void report_usage(const base::task_id& task, const base::resources& used) override;
    tl::expected<void, base::refusal> enqueue(const task& new_task, base::time_point now) override;
    void adopt(const task& running_task, const base::vm_id& on_vm,
               const base::resources& reserved) override;
    bool cancel(const base::task_id& id) override;
    void record_completion(const task_completion& completion, base::time_point now) override;
    std::vector<decision> decide(base::time_point now, std::size_t max_decisions) override;
    std::vector<team_load> loads() const override;
    std::vector<vm_load> vm_loads() const override;
    waiting_reason why_waiting(const base::task_id& id) const override;

private:
    // State of one call of `decide`.
    struct decision_round {
        base::time_point now;
        std::size_t limit;
        std::vector<decision> decided;
        std::size_t placed = 0;

        std::size_t remaining() const { return limit - std::min(limit, decided.size()); }
    };

    // The steps of `decide`, in order.
    void refresh_capacity();
    void end_reservations(base::time_point now);
    void allow_probes(base::time_point now);
    void abandon_expired(decision_round& round);
    bool decide_head(task_lane& next, decision_round& round);
    void handle_starving(decision_round& round);
    void reserve_for_starving(base::time_point now);
    void preempt_batch_for_urgent(decision_round& round);

    bool abandon_head_if_expired(task_lane& next, decision_round& round);
    std::vector<sized_task> sized_tasks_of(const queue_entry& head) const;
    std::vector<vm_index> reserve_room(task_lane& next, const std::vector<sized_task>& sized_tasks);
    void start_tasks(task_lane& source_lane, const std::vector<sized_task>& sized_tasks,
                     const std::vector<vm_index>& chosen_vms, decision_round& round);
    void abandon(task_record& record, const base::refusal& reason, decision_round& round);

    std::optional<base::refusal> refuse(const task& new_task, base::time_point now);
    bool fits_when_empty(const task& new_task) const;
    void start(task_record& record, vm_index target, const base::resources& reserved);
    void room_grew(vm_index i);
    void apply_health_changes();

    scheduler_settings settings_;
    team_table team_table_;
    task_store tasks_;
    vm_table vms_;
    vm_health health_;
    placer placer_;
    preemptor preemptor_;
    reservations reservations_;
    task_queues queues_;
    bool capacity_changed_ = false;
    base::time_point next_starving_check_{};
    std::size_t stopping_ = 0;  // running tasks with a decision to stop them
    std::vector<base::task_id> tasks_of_removed_teams_;  // queued tasks to abandon
};

}  // namespace cranberrydock::policy
