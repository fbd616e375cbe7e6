// What the scheduler knows of queues, teams, their kinds of request, tasks and gangs. Plain
// records; the classes that own them keep the invariants that stand beside the members.
#pragma once

#include <cranberrydock/policy/queue_policy.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include "drain_rate.hpp"
#include "usage_estimate.hpp"
#include "vm_table.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cranberrydock::policy {

struct kind_record;
struct gang_record;
class lane;

struct queue_record {
    queue_rules rules;
    std::unique_ptr<queue_policy> policy;
    bool configured = false;  // false: takes nothing new, what it has is still served
};

// A team's standing in the order of who is next; kept by `ready_order`.
struct team_order {
    double share = 0;          // as the order has it
    std::vector<lane*> lanes;  // that have a head, parked ones apart
    int open = 0;              // lanes among them that are not blocked
    int open_urgent = 0;       // of urgent queues among those
    bool ready = false;        // in the order, since `open` is not 0
    bool held_up = false;      // some of `lanes` are blocked
    bool urgent = false;       // in the order of urgent work, since `open_urgent` is not 0
};

struct team_record {
    team_rules rules;
    bool configured = false;  // false: takes nothing new, what it has queued is given up
    base::resources used;     // sum of `reserved` over its running tasks
    base::slot_count slots_queued;
    base::slot_count slots_held;  // of the allowance, for work that waits with a reservation
    std::size_t tasks_running = 0;
    std::size_t tasks_queued = 0;
    double share = 0;  // weighted dominant share; the team with the lowest is next
    std::vector<std::unique_ptr<kind_record>> kinds;
    team_order order;

    bool active() const { return tasks_running + tasks_queued > 0; }
    base::slot_count slots_free() const { return rules.allowance - used.slots - slots_held; }
};

// The requests of one kind of one team in one queue.
struct kind_record {
    team_record* team = nullptr;
    queue_record* queue = nullptr;
    base::kind_name name;
    base::resources used;  // sum of `reserved` over its running tasks
    std::size_t tasks_queued = 0;
    double share = 0;  // weighted dominant share among its team's kinds
    drain_rate drain;
    usage_estimate estimate;
    std::vector<std::unique_ptr<lane>> lanes;
};

// A task that is queued or runs.
struct task_record {
    const base::task_id* id = nullptr;  // owned by the index of `task_store`
    base::job_id job;
    kind_record* kind = nullptr;
    base::resources need;  // as declared, at least one slot
    task_timing timing;
    std::vector<base::vm_id> avoid;
    bool repeatable = true;
    gang_record* gang = nullptr;  // null: starts by itself

    // Queued: the lane it waits in, the number of this stay in the queue, and the number of its
    // entry in the lane; 0: has no entry (a gang is entered under one of its tasks).
    lane* in = nullptr;
    std::uint64_t stay = 0;
    std::uint64_t entry = 0;
    int reservations = 0;    // how often room was kept for it
    bool room_kept = false;  // room is kept for its entry now

    // Running: where, what is reserved, and how much it uses above that.
    bool running = false;
    bool stopping = false;  // to be stopped in favour of others
    vm_index where;
    base::time_point started{};
    base::resources reserved;
    base::resources excess;
    // The rack that it is counted in, when its queue spreads over racks: as it was when the task
    // started, since a VM's rack or the queue's kind may change meanwhile.
    std::optional<std::uint32_t> counted_in_rack;
};

// The tasks of a job that start together. Invariant: `queued` holds the gang's queued tasks, and an
// entry in a lane exists only while it is complete.
struct gang_record {
    base::job_id job;
    std::size_t size = 0;  // tasks that it takes to start
    std::vector<task_record*> queued;
    std::size_t running = 0;

    // Tasks that are queued again while others of the gang run join them.
    bool complete() const { return !queued.empty() && (running > 0 || queued.size() >= size); }
};

}  // namespace cranberrydock::policy
