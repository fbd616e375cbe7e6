// The scheduler of one cell: which queued task runs next, and on which VM. Pure decisions: it does
// no I/O and has no clock; time comes in as a value. One thread uses it.
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

struct queue_rules {
    base::queue_name name;
    queue_kind kind = queue_kind::batch;
    std::size_t max_queued_per_team = 10'000;  // tasks
};

struct team_rules {
    base::team_id team;
    double share = 1.0;  // weight; greater than 0
    // Slots that this cell may have in use for the team: its part of the fleet-wide upper limit.
    base::slot_count allowance;
    // Slots in use for the team in other cells, as their owners last said: corrects the share.
    base::slot_count used_elsewhere;
};

// A task as the scheduler sees it.
struct task {
    base::task_id id;
    base::job_id job;
    base::team_id team;
    base::queue_name queue;
    base::kind_name kind;
    base::resources need;  // as declared; estimates may raise what is reserved
    bool repeatable = true;
    // Tasks of `job` that must start together; 1: none. A task of a gang that is queued again joins
    // those that still run; when none does, the size is that of what is to start again.
    std::size_t gang_size = 1;
    base::time_point accepted{};
    // When the answer must be there. Latency queues refuse or give up as soon as it can't be met,
    // must-finish queues never, all others once it has passed.
    std::optional<base::time_point> deadline;
    std::optional<base::duration> expected_time;
    // VMs where it failed before: they are used again only when no other is large enough.
    std::vector<base::vm_id> avoid;
};

enum class vm_state {
    usable,
    draining,  // finishes what it has, gets nothing new
    unheard,   // not reported to this owner yet, or silent: gets nothing
};

struct vm {
    base::vm_id id;
    base::rack_name rack;
    base::resources capacity;
    vm_state state = vm_state::unheard;
};

// Why a task ended, as far as the VM's health and the estimates care.
enum class end_kind { completed, failed, stopped, lost };

struct task_ended {
    base::task_id id;
    end_kind end = end_kind::completed;
    base::resources peak_usage;
    base::duration ran_for{0};
};

struct placement {
    base::task_id task;
    base::vm_id vm;
    base::resources reserve;  // what the VM is asked to reserve
};

// A queued task that is given up, with the true reason.
struct giving_up {
    base::task_id task;
    base::refusal why;
};

// A running task to be stopped in favour of others; never one that may not be repeated.
struct preemption {
    base::task_id task;
    base::vm_id vm;
    std::string why;
};

using decision = std::variant<placement, giving_up, preemption>;

struct team_load {
    base::team_id team;
    base::slot_count running;
    base::slot_count queued;
    std::size_t tasks_running = 0;
    std::size_t tasks_queued = 0;
};

// What the scheduler counts on one VM.
struct vm_load {
    base::vm_id vm;
    base::resources reserved;  // by running tasks, and what they use above that
    std::size_t tasks = 0;
    bool quarantined = false;  // it failed what its peers did not; gets single probes only
};

// Why a task still waits, in words for operators.
struct waiting_reason {
    std::string text;
};

class scheduler {
public:
    virtual ~scheduler() = default;

    virtual void set_queues(const std::vector<queue_rules>& queues) = 0;
    virtual void set_teams(const std::vector<team_rules>& teams) = 0;

    // Adds the VM or takes over its new capacity and state. What runs on it stays counted.
    virtual void put_vm(const vm& one) = 0;
    // Forgets the VM. Tasks that were placed on it must have been ended before.
    virtual void remove_vm(const base::vm_id& id) = 0;
    // Usage as reported by the VM, per task; lags.
    virtual void report_usage(const base::task_id& task, const base::resources& used) = 0;

    // Queues a task, or refuses it at once when it can never fit, its team's queue is full, or its
    // deadline can't be met any more.
    virtual tl::expected<void, base::refusal> enqueue(const task& one, base::time_point now) = 0;

    // Counts a task as running on a VM without having decided it: after a takeover.
    virtual void adopt(const task& one, const base::vm_id& vm, const base::resources& reserved) = 0;

    // Takes a queued task out; false when it is not queued.
    virtual bool cancel(const base::task_id& id) = 0;

    // A running task has ended, wherever it ran; its resources are free again.
    virtual void ended(const task_ended& what, base::time_point now) = 0;

    // Decides what can be decided now, at most `max_decisions`. A placed task counts as running
    // from here on. All tasks of a gang are placed in one call or none; a gang that is larger than
    // `max_decisions` is placed whole all the same when its turn comes first in a call.
    virtual std::vector<decision> decide(base::time_point now, std::size_t max_decisions) = 0;

    virtual std::vector<team_load> loads() const = 0;
    virtual std::vector<vm_load> vm_loads() const { return {}; }
    virtual waiting_reason why_waiting(const base::task_id& id) const = 0;
};

std::unique_ptr<scheduler> make_scheduler(const scheduler_settings& settings = {});

}  // namespace cranberrydock::policy
