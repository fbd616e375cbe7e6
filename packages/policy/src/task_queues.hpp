// All waiting tasks: the lane that each task waits in, and the lane whose head is decided next. A
// lane whose head can't start now is set aside: it is parked while its team's allowance is used up,
// and blocked while no VM has room for its head.
#pragma once

#include "expiry_queue.hpp"
#include "ready_order.hpp"
#include "records.hpp"
#include "team_table.hpp"

#include <vector>

namespace cranberrydock::policy {

class task_queues {
public:
    task_queues(team_table& teams, const vm_table& vms, const scheduler_settings& settings)
        : team_table_(&teams), vms_(&vms), settings_(settings) {}

    // Queues the task. A gang gets an entry in its lane only when it is complete.
    void add_waiting(task_record& record);
    // Removes a queued task that has not started.
    void remove_waiting(task_record& record);
    // Updates the gang's entry. Called when its number of running or queued tasks has changed,
    // since its queued tasks may now start or may have to wait.
    void gang_changed(gang_record& gang);
    // Removes the head of a lane with all its tasks, because they start now.
    void remove_head(task_lane& source_lane, base::time_point now);

    // Returns the lane whose head is decided next, or null if no head can be decided.
    task_lane* next_lane() const;
    // Returns the tasks of a lane's entry: one task, or all queued tasks of a gang.
    static std::vector<task_record*> members(const queue_entry& entry);
    // Returns the amount to reserve for the task: as estimated, or as declared if no VM is large
    // enough for the estimate.
    base::resources reserve_for(const task_record& record) const;
    // Moves the lane in the order if its head's demand has changed. Returns false if it has not.
    bool update_demand(task_lane& lane);

    void park(task_lane& lane, base::time_point now);
    void block(task_lane& lane, base::time_point now) { order_.block(*lane.group, now); }
    void unblock(task_lane& lane);
    // Puts a lane back into the order after its head's reservation or its team's allowance has
    // changed.
    void reconsider(task_lane& lane);
    // Called when the free capacity of a VM may have grown to `room`.
    void room_grew(vm_index i, const base::resources& room) { order_.room_grew(i, room); }
    // Called when the team's use or allowance has changed.
    void team_changed(team_record& team);
    // Called when the shares of all teams may have changed.
    void shares_changed();

    // Returns the lane whose head should get a reservation: it has found no room for at least
    // `reservation_delay`, is not in `reserved_entries`, has had the fewest reservations so far,
    // and then goes first by share and position. Null if there is none.
    task_lane* find_starving(base::time_point now,
                             const std::vector<std::uint64_t>& reserved_entries) const;

    // Returns the lane of urgent work, of a team below its share, whose head has waited longest
    // since its acceptance, at least `min_wait`, and has no room. Null if there is none.
    task_lane* find_starving_urgent(base::time_point now, base::duration min_wait) const;

    // Returns a queued task whose start deadline has passed, or null.
    task_record* first_expired(base::time_point now) { return expiry_queue_.earliest_expired(now); }

private:
    void add_entry(task_record& record);
    void update_gang_entry(gang_record& gang);
    void withdraw_entry(task_record& record);
    void count_queued(task_record& record, bool added);
    void update_if_head_changed(task_lane& lane);
    void unpark(task_lane& lane);
    bool must_yield(const team_record& team) const;
    static task_lane* next_urgent_lane(const team_record& team);
    void update_position(task_lane& lane);
    demand demand_of(const queue_entry& entry) const;

    team_table* team_table_;
    const vm_table* vms_;
    scheduler_settings settings_;
    ready_order order_;
    expiry_queue expiry_queue_;
    std::vector<task_lane*> parked_;
    std::uint64_t last_number_ = 0;  // last number given to an entry or to a stay in the queue
};

}  // namespace cranberrydock::policy
