// The scheduler of one cell decides which queued task starts next and on which VM. It does no I/O
// and reads no clock: the caller passes the current time to each call. Not thread-safe; a scheduler
// is used by one thread.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/policy/scheduler_settings.hpp>

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::policy {

enum class queue_kind { latency, must_finish, batch, gang, service };

struct queue_settings {
    base::queue_name name;
    queue_kind kind = queue_kind::batch;
    std::size_t max_queued_per_team = 10'000;  // in tasks
};

struct team_settings {
    base::team_id team;
    double share = 1.0;  // weight; greater than 0
    // Slots that the team may use in this cell: the cell's part of the team's fleet-wide upper
    // limit.
    base::slot_count allowance;
    // Slots that the team uses in other cells, as last reported by their owners. They count towards
    // the team's share.
    base::slot_count slots_used_elsewhere;
};

// A task as submitted to the scheduler.
struct task {
    base::task_id id;
    base::job_id job;
    base::team_id team;
    base::queue_name queue;
    base::kind_name kind;
    // As declared. The reserved amount may differ, see scheduler_settings::learn_task_sizes.
    base::resources need;
    bool repeatable = true;
    // Number of tasks of `job` that must start together; 1 if the task is in no gang. A gang's task
    // that is queued again joins the tasks of the gang that still run. If none runs, this is the
    // number of tasks to start again.
    std::size_t gang_size = 1;
    base::time_point accepted{};
    // Time by which the answer is needed. Latency queues refuse or abandon the task as soon as it
    // can't be met, must-finish queues ignore it, and all other queues abandon the task once it has
    // passed.
    std::optional<base::time_point> deadline;
    std::optional<base::duration> expected_time;
    // VMs on which the task failed before. They are used again only if no other VM is large enough.
    std::vector<base::vm_id> avoid;
};

enum class vm_state {
    usable,
    draining,    // running tasks continue, no new tasks are placed
    unreported,  // no report received yet, or unresponsive: no new tasks are placed
};

struct vm {
    base::vm_id id;
    base::rack_name rack;
    base::resources capacity;
    vm_state state = vm_state::unreported;
};

// How a task ended. VM health and usage estimates depend on it.
enum class completion_kind { completed, failed, stopped, lost };

struct task_completion {
    base::task_id id;
    completion_kind kind = completion_kind::completed;
    base::resources peak_usage;
    base::duration run_time{0};
};

struct placement {
    base::task_id task;
    base::vm_id vm;
    base::resources reserve;  // the amount to reserve on the VM
};

// A queued task that the scheduler abandons, and the reason.
struct abandonment {
    base::task_id task;
    base::refusal refusal;
};

// A running task to stop in favour of others. Only repeatable tasks are stopped.
struct preemption {
    base::task_id task;
    base::vm_id vm;
    std::string reason;
};

using decision = std::variant<placement, abandonment, preemption>;

// The running and queued work of one team in this cell.
struct team_load {
    base::team_id team;
    base::slot_count running;
    base::slot_count queued;
    std::size_t tasks_running = 0;
    std::size_t tasks_queued = 0;
};

// What the scheduler has on record for one VM.
struct vm_load {
    base::vm_id vm;
    base::resources reserved;  // reserved by running tasks, plus what they use above that
    std::size_t tasks = 0;
    bool quarantined = false;  // fails more often than its peers; gets single probe tasks only
};

// Why a task still waits, as text for operators.
struct waiting_reason {
    std::string text;
};

class scheduler {
public:
    virtual ~scheduler() = default;

    // Replaces the configured queues. Tasks that wait in a removed queue are still placed.
    virtual void set_queues(const std::vector<queue_settings>& queues) = 0;
    // Replaces the configured teams. `decide` abandons the queued tasks of removed teams.
    virtual void set_teams(const std::vector<team_settings>& teams) = 0;

    // Adds the VM, or updates its capacity and state. Tasks that run on it stay counted.
    virtual void set_vm(const vm& info) = 0;
    // Removes the VM. Tasks that were placed on it must have been ended before.
    virtual void remove_vm(const base::vm_id& id) = 0;
    // Records the usage of a running task as reported by its VM. Reports lag behind actual usage.
    virtual void report_usage(const base::task_id& task, const base::resources& used) = 0;

    // Queues a task. Returns a refusal if the task can never fit, its team's queue is full, or its
    // deadline can't be met.
    virtual tl::expected<void, base::refusal> enqueue(const task& new_task,
                                                      base::time_point now) = 0;

    // Counts a task as running without a decision of this scheduler. Called after a takeover, for
    // tasks that a previous owner placed.
    virtual void adopt(const task& running_task, const base::vm_id& vm,
                       const base::resources& reserved) = 0;

    // Removes a queued task. Returns false if the task is not queued.
    virtual bool cancel(const base::task_id& id) = 0;

    // Records that a running task has ended, on whichever VM, and frees its resources. No effect if
    // the task is not counted as running.
    virtual void record_completion(const task_completion& completion, base::time_point now) = 0;

    // Makes the decisions that are possible now, at most `max_decisions`. A placed task counts as
    // running from then on. The tasks of a gang are all placed in one call or not at all; a gang
    // with more tasks than `max_decisions` is still placed if it comes first in a call.
    virtual std::vector<decision> decide(base::time_point now, std::size_t max_decisions) = 0;

    virtual std::vector<team_load> loads() const = 0;
    virtual std::vector<vm_load> vm_loads() const { return {}; }
    virtual waiting_reason why_waiting(const base::task_id& id) const = 0;
};

std::unique_ptr<scheduler> make_scheduler(const scheduler_settings& settings = {});

}  // namespace cranberrydock::policy
