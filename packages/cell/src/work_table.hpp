// The work of one cell and its tasks, indexed by job, task and attempt.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/work.hpp>
#include <cranberrydock/cell/cell_messages.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberrydock::cell {

enum class task_phase {
    recording,         // the accepted record is being written; not queued yet
    held,              // recovered; may still run on a VM without a report
    queued,            // in the scheduler's queue
    recording_intent,  // placed; the intent record is being written
    starting,          // the start was sent; the VM has not confirmed it
    running,           // the VM has confirmed it
    backing_off,       // waits for its next attempt
    unresolved,        // may not be repeated; its VM is unresponsive, its lease has expired
    ended,
};

// One dispatch of a task.
struct attempt {
    base::attempt_id id;
    base::vm_id vm;
    base::incarnation_id incarnation;
    int number = 1;
    base::resources reserved;
    base::time_point placed{};
    base::time_point sent{};
    // When every lease of this attempt is certain to have expired on the VM. Only the sending of a
    // start or a renewal moves this time, never an answer.
    base::time_point expires_at{};
    bool confirmed = false;
    bool counted = false;  // the scheduler counts it as running
    int starts_sent = 0;
    bool start_under_way = false;       // a start was sent and its answer is pending
    bool restart_when_stopped = false;  // its gang starts again
};

struct task_state {
    base::task_id id;
    task_phase phase = task_phase::recording;
    std::optional<attempt> current;
    int attempts = 0;
    std::vector<std::string> attempt_reasons;
    std::vector<base::vm_id> avoid;
    base::time_point queued{};
    base::time_point retry_at{};
    std::optional<base::task_answer> answer;
};

struct work_state {
    base::work spec;
    // False for work that is known only from VMs or intents, until its caller retries it.
    bool known = true;
    bool cancelled = false;
    // Whether this owner has placed a task of it at least once, or an intent record exists.
    bool dispatched = false;
    base::time_point accepted{};
    std::vector<task_state> tasks;
    std::vector<reply_id> waiters;
    // Set once. Only an outcome_unknown may be replaced.
    std::optional<base::work_outcome> outcome;
    bool outcome_recorded = false;
    base::time_point finished{};
    // Attempts whose answers the VMs may forget once the outcome is durable.
    std::vector<attempt> to_acknowledge;
    std::vector<base::trace_step> trace;
};

struct task_ref {
    work_state* work = nullptr;
    task_state* task = nullptr;

    explicit operator bool() const { return task != nullptr; }
};

class work_table {
public:
    work_state* find(const base::job_id& job);
    const work_state* find(const base::job_id& job) const;
    work_state& add(work_state work);
    void remove(const base::job_id& job);

    task_ref find_task(const base::task_id& id);
    task_ref find_attempt(const base::attempt_id& id);

    // Returns the task of this work with the same index as `id`, whichever owner named it, or null.
    task_state* same_index(work_state& work, const base::task_id& id);

    // Replaces a task that has no attempt.
    void replace_task(task_state& old, task_state task);

    // Adds a task to the work.
    task_state& add_task(work_state& work, task_state task);

    void begin_attempt(task_state& task, attempt next);
    // Removes the task's current attempt.
    void end_attempt(task_state& task);

    std::map<base::job_id, work_state>& works() { return works_; }
    const std::map<base::job_id, work_state>& works() const { return works_; }

private:
    struct task_place {
        base::job_id job;
        std::size_t index = 0;
    };

    std::map<base::job_id, work_state> works_;
    // Invariant: contains exactly the tasks of works_.
    std::unordered_map<base::task_id, task_place> tasks_;
    // Invariant: contains exactly the current attempts of the tasks.
    std::unordered_map<base::attempt_id, base::task_id> attempts_;
};

// Whether callers may receive the outcome. A refusal of accepted work must be in the journal first;
// otherwise the next owner would run work that was reported as refused.
bool may_report_outcome(const work_state& work);

// Whether the same work may be accepted again: it was refused without having run, and its team has
// not cancelled it.
bool may_be_readmitted(const work_state& work);

// Whether no task of the work was ever dispatched. Only then may it be reported as "not run".
bool never_dispatched(const work_state& work);

// Returns the task's name. Journaled work keeps the names of its tasks under every owner, so no
// task starts while it may still run elsewhere. Other work gets new tasks when its caller sends it
// to a new owner.
base::task_id name_task(const base::work& spec, std::size_t index, base::epoch epoch);

// Returns the index of the task within its work, as text that is the same under every owner.
std::string index_of(const base::task_id& task);

// Returns the job of the task.
base::job_id job_of(const base::task_id& task);

}  // namespace cranberrydock::cell
