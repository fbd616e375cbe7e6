// The scheduler of one cell: admission into queues, decisions in order of shares, and the books of
// what runs where. It composes the parts and keeps them in step; each rule lives in its own part.
#pragma once

#include <cranberrydock/policy/scheduler.hpp>

#include "placer.hpp"
#include "preemptor.hpp"
#include "reservations.hpp"
#include "roster.hpp"
#include "task_queues.hpp"
#include "task_store.hpp"
#include "vm_health.hpp"
#include "vm_table.hpp"

#include <vector>

namespace cranberrydock::policy {

class cell_scheduler final : public scheduler {
public:
    explicit cell_scheduler(const scheduler_settings& settings);

    void set_queues(const std::vector<queue_rules>& queues) override;
    void set_teams(const std::vector<team_rules>& teams) override;
    void put_vm(const vm& one) override;
    void remove_vm(const base::vm_id& id) override;
    void report_usage(const base::task_id& task, const base::resources& used) override;
    tl::expected<void, base::refusal> enqueue(const task& one, base::time_point now) override;
    void adopt(const task& one, const base::vm_id& where, const base::resources& reserved) override;
    bool cancel(const base::task_id& id) override;
    void ended(const task_ended& what, base::time_point now) override;
    std::vector<decision> decide(base::time_point now, std::size_t max_decisions) override;
    std::vector<team_load> loads() const override;
    std::vector<vm_load> vm_loads() const override;
    waiting_reason why_waiting(const base::task_id& id) const override;

private:
    // One call of `decide`: what it has decided so far.
    struct decision_round {
        base::time_point now;
        std::size_t most;
        std::vector<decision> decided;
        std::size_t placed = 0;

        std::size_t left() const { return most - std::min(most, decided.size()); }
    };

    // The steps of a decision, in order.
    void refresh_capacity();
    void end_reservations(base::time_point now);
    void open_probes(base::time_point now);
    void give_up_useless(decision_round& round);
    bool decide_head(lane& next, decision_round& round);
    void look_after_starving(decision_round& round);
    void keep_room_for_starving(base::time_point now);
    void stop_batch_for_urgent(decision_round& round);

    bool give_up_head_if_useless(lane& next, decision_round& round);
    std::vector<placement_wish> wishes_of(const queue_entry& head) const;
    std::vector<vm_index> take_room(lane& next, const std::vector<placement_wish>& wishes);
    void start_all(lane& from, const std::vector<placement_wish>& wishes,
                   const std::vector<vm_index>& where, decision_round& round);
    void give_up(task_record& one, const base::refusal& why, decision_round& round);

    std::optional<base::refusal> refuse(const task& one, base::time_point now);
    bool fits_whole(const task& one) const;
    void start(task_record& one, vm_index where, const base::resources& reserved);
    void room_grew(vm_index i);
    void apply_health_changes();

    scheduler_settings settings_;
    roster roster_;
    task_store tasks_;
    vm_table vms_;
    vm_health health_;
    placer placer_;
    preemptor preemptor_;
    reservations reservations_;
    task_queues queues_;
    bool capacity_changed_ = false;
    base::time_point next_starving_check_{};
    std::size_t stopping_ = 0;                     // running tasks that are to be stopped
    std::vector<base::task_id> of_removed_teams_;  // queued tasks still to be given up
};

}  // namespace cranberrydock::policy
