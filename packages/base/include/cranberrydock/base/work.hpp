// Work as a caller describes it, and what became of it: the messages that entry, mesh and cell
// share.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/base/units.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::base {

// One piece of accepted or to be accepted work: a request (one task, its answer goes back on the
// same call) or a job (one or more tasks, asked about later).
struct work {
    request_id id;        // this call; a retry of the same work has another
    job_id job;           // the same for every call with the same (team, key)
    team_id team;         // from the key that came with it, never from the body
    idempotency_key key;  // with `team` names the work
    std::string digest;   // of the body: the same key with another body is an error
    queue_name queue;
    kind_name kind;
    std::string payload;  // handed to each task as it is
    resources need;       // per task, as declared
    std::size_t task_count = 1;
    bool gang = false;       // all tasks at once or none
    bool repeatable = true;  // false: runs at most once
    bool durable = false;    // a job: written down before the caller is told "accepted"
    bool service = false;    // runs until it is cancelled
    std::optional<milliseconds> deadline;       // from acceptance
    std::optional<milliseconds> expected_time;  // run time as declared; often far off
    std::string traceparent;                    // W3C trace context of the caller, passed on
};

// A step on the way of one piece of work, for `cranberryctl explain`.
struct trace_step {
    std::string stage;   // "admit", "queue", "dispatch", ...
    std::string where;   // the daemon, VM or link that it happened at
    microseconds at{0};  // since the work reached its entry, on the clock of `where`'s observer
    microseconds took{0};
    std::string note;  // the decision and its reason
};

// One task's end.
struct task_answer {
    task_id task;
    vm_id vm;
    std::string content;
    std::string digest;  // hexadecimal SHA-256 of `content`, made where the task ran
    int attempts = 1;
};

struct work_accepted {};

struct work_answered {
    std::vector<task_answer> answers;
};

using work_outcome = std::variant<work_accepted, work_answered, refusal>;

enum class job_state { queued, running, done, refused, outcome_unknown };

std::string to_string(job_state state);
job_state job_state_of(std::string_view name);

// What an owner says of a job when asked.
struct job_view {
    job_id job;
    team_id team;
    queue_name queue;
    kind_name kind;
    job_state state = job_state::queued;
    std::string why;  // why it waits, or why it was refused
    std::size_t tasks = 0;
    std::size_t tasks_running = 0;
    std::size_t tasks_done = 0;
    std::vector<vm_id> vms;  // where its tasks run or ran
    int attempts = 0;
    std::vector<std::string> attempt_reasons;  // how each earlier attempt ended
    std::vector<task_answer> answers;
    std::optional<refusal> refused;
    std::vector<trace_step> trace;
};

}  // namespace cranberrydock::base
