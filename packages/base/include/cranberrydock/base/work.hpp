// Work as submitted by a caller, and its outcome. The entry, mesh and cell packages share these
// messages.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/refusal.hpp>
#include <cranberrydock/base/units.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::base {

// One unit of submitted work: a request (one task, whose answer is returned by the same call) or a
// job (one or more tasks, whose state is queried later).
struct work {
    request_id id;        // of this call; a retry of the same work has a different one
    job_id job;           // the same for every call with the same (team, key)
    team_id team;         // determined by the API key, never by the body
    idempotency_key key;  // identifies the work, together with `team`
    std::string digest;   // of the body; the same key with a different body is an error
    queue_name queue;
    kind_name kind;
    std::string payload;  // passed to each task unchanged
    resources need;       // per task, as declared
    std::size_t task_count = 1;
    bool gang = false;       // all tasks at once or none
    bool repeatable = true;  // false: runs at most once
    bool durable = false;    // a job: stored durably before the caller receives "accepted"
    bool service = false;    // runs until it is cancelled
    std::optional<milliseconds> deadline;       // relative to acceptance
    std::optional<milliseconds> expected_time;  // declared run time; often inaccurate
    std::string traceparent;                    // W3C trace context of the caller, propagated
};

// One step in the processing of a unit of work, shown by `cranberryctl explain`.
struct trace_step {
    std::string stage;  // "admit", "queue", "dispatch", ...
    std::string where;  // the daemon, VM or link at which the step took place
    // Since the work reached its entry, on the clock of the daemon that recorded the step.
    microseconds at{0};
    microseconds took{0};
    std::string note;  // the decision and its reason
};

// The result of one completed task.
struct task_answer {
    task_id task;
    vm_id vm;
    std::string content;
    std::string digest;  // hexadecimal SHA-256 of `content`, computed on the VM that ran the task
    int attempts = 1;
};

struct work_accepted {};

struct work_answered {
    std::vector<task_answer> answers;
};

using work_outcome = std::variant<work_accepted, work_answered, refusal>;

enum class job_state { queued, running, done, refused, outcome_unknown };

std::string to_string(job_state state);
job_state parse_job_state(std::string_view name);

// The state of a job as its owner reports it.
struct job_view {
    job_id job;
    team_id team;
    queue_name queue;
    kind_name kind;
    job_state state = job_state::queued;
    std::string why;  // the reason for which it waits or was refused
    std::size_t tasks = 0;
    std::size_t tasks_running = 0;
    std::size_t tasks_done = 0;
    std::vector<vm_id> vms;  // the VMs on which its tasks run or ran
    int attempts = 0;
    std::vector<std::string> attempt_reasons;  // the outcome of each previous attempt
    std::vector<task_answer> answers;
    std::optional<refusal> refused;
    std::vector<trace_step> trace;
};

}  // namespace cranberrydock::base
