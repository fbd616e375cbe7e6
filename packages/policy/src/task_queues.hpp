// All waiting tasks: which waits where, and which lane's head is next. What can't go on at once
// steps aside: a lane whose team's allowance is in use is parked, a demand without room is blocked.
#pragma once

#include "expiry.hpp"
#include "ready_order.hpp"
#include "records.hpp"
#include "roster.hpp"

#include <vector>

namespace cranberrydock::policy {

class task_queues {
public:
    task_queues(roster& who, const vm_table& vms, const scheduler_settings& settings)
        : roster_(&who), vms_(&vms), settings_(settings) {}

    // Queues the task. A gang's task waits apart until its gang is complete.
    void join(task_record& one);
    // Takes a queued task out, without its having started.
    void leave(task_record& one);
    // What runs of the gang has changed, and with it perhaps whether its queued tasks may start.
    void gang_changed(gang_record& gang);
    // Takes out the head of a lane, all tasks of it, because they start now.
    void take_head(lane& from, base::time_point now);

    // The lane whose head is to be decided next; null when nothing can be.
    lane* next() const;
    // The tasks of a lane's head.
    static std::vector<task_record*> members(const queue_entry& entry);
    // What is reserved for the task: as learnt, where some VM is large enough for that.
    base::resources reserve_for(const task_record& one) const;
    // Enters the lane anew when its head's demand has changed; false when it has not.
    bool demand_changed(lane& one);

    void park(lane& one, base::time_point now);
    void block(lane& one, base::time_point now) { order_.block(*one.group, now); }
    void unblock(lane& one);
    // Decides the lane's head anew: room is kept for it now, or no longer is, or its team's
    // allowance may have room.
    void enter_anew(lane& one);
    // The VM has this room now, which may be more than before.
    void room_grew(vm_index i, const base::resources& room) { order_.room_grew(i, room); }
    // The team's use or allowance has changed.
    void team_changed(team_record& team);
    // All shares have changed.
    void shares_changed();

    // The waiting head that has found no room for longest past `patience`, by rank among those for
    // which room was kept least often; null when there is none.
    lane* starving(base::time_point now, const std::vector<std::uint64_t>& except) const;

    // The lane of urgent work, of a team below its share, whose head has found no room for longest
    // past `patience`; null when there is none.
    lane* starving_urgent(base::time_point now, base::duration patience) const;

    // A queued task that has become useless to start; null when there is none.
    task_record* first_useless(base::time_point now) { return expiry_.first_due(now); }

private:
    void enter(task_record& one);
    void enter_or_withdraw(gang_record& gang);
    void withdraw(task_record& one);
    void count_queued(task_record& one, bool joins);
    void refresh(lane& one);
    void unpark(lane& one);
    bool gives_way(const team_record& team) const;
    static lane* next_of_urgent(const team_record& team);
    void place_in_order(lane& one);
    demand demand_of(const queue_entry& entry) const;

    roster* roster_;
    const vm_table* vms_;
    scheduler_settings settings_;
    ready_order order_;
    expiry expiry_;
    std::vector<lane*> parked_;
    std::uint64_t numbers_ = 0;  // last number given to an entry or a stay
};

}  // namespace cranberrydock::policy
