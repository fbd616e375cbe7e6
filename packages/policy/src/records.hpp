// Records of queues, teams, their kinds of requests, tasks and gangs. These are plain structs; the
// classes that own them maintain the invariants stated at the members.
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
class task_lane;

struct queue_record {
    queue_settings rules;
    std::unique_ptr<queue_policy> policy;
    bool configured = false;  // if false, new tasks are refused, queued ones still run
};

// A team's place in the order of teams; maintained by `ready_order`.
struct team_order {
    double share = 0;               // the value by which the team is sorted
    std::vector<task_lane*> lanes;  // lanes with a head that are not parked
    int unblocked = 0;              // number of `lanes` that are not blocked
    int unblocked_urgent = 0;       // number of urgent lanes among those
    bool ready = false;             // in the order, as `unblocked` is not 0
    bool has_blocked = false;       // some of `lanes` are blocked
    bool urgent = false;            // in the order of urgent teams, as `unblocked_urgent` is not 0
};

struct team_record {
    team_settings rules;
    bool configured = false;  // if false, new tasks are refused and queued ones abandoned
    base::resources used;     // sum of `reserved` over running tasks
    base::slot_count slots_queued;
    base::slot_count slots_held;  // part of the allowance that is held for reservations
    std::size_t tasks_running = 0;
    std::size_t tasks_queued = 0;
    double share = 0;  // weighted dominant share; the team with the lowest goes first
    std::vector<std::unique_ptr<kind_record>> kinds;
    team_order order;

    bool active() const { return tasks_running + tasks_queued > 0; }
    base::slot_count slots_free() const { return rules.allowance - used.slots - slots_held; }
};

// The requests of one kind from one team in one queue.
struct kind_record {
    team_record* team = nullptr;
    queue_record* queue = nullptr;
    base::kind_name name;
    base::resources used;  // sum of `reserved` over running tasks
    std::size_t tasks_queued = 0;
    double share = 0;  // weighted dominant share among the team's kinds
    drain_rate drain;
    usage_estimate estimate;
    std::vector<std::unique_ptr<task_lane>> lanes;
};

// A task that is queued or running.
struct task_record {
    const base::task_id* id = nullptr;  // owned by the index of `task_store`
    base::job_id job;
    kind_record* kind = nullptr;
    base::resources need;  // as declared, at least one slot
    task_timing timing;
    std::vector<base::vm_id> avoid;
    bool repeatable = true;
    gang_record* gang = nullptr;  // null if the task is in no gang

    // While queued: the lane, the number of this stay in the queue, and the number of the entry in
    // the lane. entry_number is 0 if there is no entry; a gang has one entry, under one of its
    // tasks.
    task_lane* waiting_in = nullptr;
    std::uint64_t stay_number = 0;
    std::uint64_t entry_number = 0;
    int reservation_count = 0;     // reservations made for the task so far
    bool has_reservation = false;  // its entry has a reservation now

    // While running: the VM, the reserved amount, and the usage above that.
    bool running = false;
    bool stopping = false;  // there is a decision to stop the task
    vm_index placed_on;
    base::time_point started{};
    base::resources reserved;
    base::resources excess;
    // The rack in which the task is counted if its queue spreads over racks. Stored at the start,
    // since the VM's rack or the queue's kind may change while the task runs.
    std::optional<std::uint32_t> counted_in_rack;
};

// The tasks of a job that start together. Invariant: `queued` lists the gang's queued tasks, and
// the gang has an entry in a lane only while `complete` is true.
struct gang_record {
    base::job_id job;
    std::size_t size = 0;  // tasks that must be queued before the gang may start
    std::vector<task_record*> queued;
    std::size_t running = 0;

    // Tasks that are queued again while other tasks of the gang run may start at once.
    bool complete() const { return !queued.empty() && (running > 0 || queued.size() >= size); }
};

}  // namespace cranberrydock::policy
