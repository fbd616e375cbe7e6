// The works of one cell and their tasks, found by job, task and attempt.
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
    recording,         // the work is being written down; not queued yet
    held,              // recovered; may still run on a VM that was not heard from
    queued,            // the scheduler has it
    recording_intent,  // placed; the intent is being written down
    starting,          // the start was sent; the VM has not confirmed it
    running,           // the VM has confirmed it
    backing_off,       // waits for its next attempt
    unresolved,        // may not be repeated, its VM is silent, its lease has lapsed
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
    // When every lease that this attempt can have has surely lapsed on the VM. Only moves when a
    // start or a renewal is sent, never by what comes back.
    base::time_point lapse_at{};
    bool confirmed = false;
    bool counted = false;  // the scheduler counts it as running
    int starts_sent = 0;
    bool start_under_way = false;       // a start was sent and its answer is not back
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
    base::work what;
    // False for work that is known only from VMs or intents until its caller retries it.
    bool known = true;
    bool cancelled = false;
    bool dispatched =
        false;  // a task of it was placed at least once under this owner, or an intent stands
    base::time_point accepted{};
    std::vector<task_state> tasks;
    std::vector<reply_id> waiters;
    std::optional<base::work_outcome> outcome;  // set once, never changed but from outcome_unknown
    bool outcome_recorded = false;
    base::time_point finished{};
    // Attempts whose answers the VMs may forget once the outcome is safe.
    std::vector<attempt> to_acknowledge;
    std::vector<base::trace_step> trace;
};

struct task_ref {
    work_state* work = nullptr;
    task_state* task = nullptr;

    explicit operator bool() const { return task != nullptr; }
};

class work_book {
public:
    work_state* find(const base::job_id& job);
    const work_state* find(const base::job_id& job) const;
    work_state& add(work_state work);
    void remove(const base::job_id& job);

    task_ref find_task(const base::task_id& id);
    task_ref find_attempt(const base::attempt_id& id);

    // The work's task of the same index as `id` names, whichever owner named it; null without one.
    task_state* same_index(work_state& work, const base::task_id& id);

    // Puts a task in the place of another that has no attempt.
    void replace_task(task_state& old, task_state task);

    // Adds one more task to a work.
    task_state& add_task(work_state& work, task_state task);

    void begin_attempt(task_state& task, attempt next);
    // Forgets the task's current attempt.
    void end_attempt(task_state& task);

    std::map<base::job_id, work_state>& works() { return works_; }
    const std::map<base::job_id, work_state>& works() const { return works_; }

private:
    struct task_place {
        base::job_id job;
        std::size_t index = 0;
    };

    std::map<base::job_id, work_state> works_;
    // Invariant: holds exactly the tasks of works_.
    std::unordered_map<base::task_id, task_place> tasks_;
    // Invariant: holds exactly the current attempts of the tasks.
    std::unordered_map<base::attempt_id, base::task_id> attempts_;
};

// Whether callers may be told the outcome: a refusal of accepted work only once it is written down,
// or else a next owner would run what was called refused.
bool may_be_told(const work_state& work);

// Whether the same work may be taken in anew: it was refused without having run, and not because
// its team cancelled it.
bool may_be_taken_again(const work_state& work);

// Whether no task of the work was ever dispatched: only then may it be called "not run".
bool never_dispatched(const work_state& work);

// The task's name. Work that is written down keeps its tasks' names under every owner, so none of
// its tasks is ever started while it may still run elsewhere. Other work gets new tasks when it is
// sent again to a new owner.
base::task_id name_task(const base::work& what, std::size_t index, base::epoch epoch);

// Which of its work's tasks it is, in the text that every owner gives it.
std::string index_of(const base::task_id& task);

// The job that a task belongs to.
base::job_id job_of(const base::task_id& task);

}  // namespace cranberrydock::cell
