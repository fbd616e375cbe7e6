// Interfaces to the worker VMs and to the placement advisor.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/work.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

// Milliseconds on a VM's own steady clock.
using vm_time = base::strong_number<struct vm_time_tag>;
// Numbers the completions that one incarnation of a VM lists.
using completion_number = base::strong_number<struct completion_number_tag>;
// Identifies an incarnation of a VM.
using boot_time = base::strong_number<struct boot_time_tag>;

// A VM's entry in the member list.
struct vm_info {
    vm_id id;
    std::string address;
    service_name service;
    zone_name zone;
    rack_name rack;
    std::vector<vm_label> labels;  // the VM's kind and rack
    resources capacity;
    bool leaving = false;  // the VM will end soon and gets no new tasks
    boot_time boot;
};

struct running_task {
    task_ref task;
    run_number run;
    checkpoint last_checkpoint;  // the latest one
    int percent = 0;             // progress
};

// How a run completed.
enum class completion_kind { done, failed, stopped, lease_expired, gang_broken, gang_incomplete };

const char* to_string(completion_kind kind);

struct task_completion {
    completion_number number;
    task_ref task;
    run_number run;
    completion_kind kind = completion_kind::done;
    checkpoint last_checkpoint;
};

// A VM lists at most this many completions at a time, those with the lowest numbers. It lists the
// next ones once these are acknowledged.
constexpr std::size_t max_listed_completions = 500;

struct vm_report {
    vm_time now;
    boot_time boot;
    std::vector<running_task> running;  // always all of them
    std::vector<task_completion> completions;

    // Whether a run that the report does not show is neither running nor completed.
    bool lists_all_completions() const { return completions.size() < max_listed_completions; }
};

enum class command_failure {
    not_delivered,        // the VM has not received the command
    connection_refused,   // not delivered: no process listens, or the path resets connections
    answer_lost,          // outcome unknown: may be carried out now, later or never
    other_incarnation,    // the addressed incarnation of the VM is gone
    stale_fencing_token,  // the VM has received a higher fencing token from another owner
    superseded,           // the run was stopped or has ended
    too_late,             // the lease in the command had expired
    no_room,              // the VM lacks free capacity
    ticket_invalid,
    unhealthy,  // the VM is busy or unavailable and did not carry out the command
    malformed,
};

const char* to_string(command_failure failure);

struct start_command {
    task_ref task;
    run_number run;
    std::string payload;
    vm_time lease_until;
    checkpoint resume_from;
    placement_ticket ticket;
    // On this process's clock; the VM is to receive the command by then or not at all. Not part of
    // the message.
    std::optional<base::time_point> not_after;
};

struct watch_command {
    vm_time lease_until;             // 0: the lease is not changed
    completion_number acknowledged;  // the VM may forget completions up to this number
    milliseconds wait{0};            // how long the VM may delay its report until there is a change
};

using start_callback = std::function<void(tl::expected<vm_time, command_failure>)>;
using stop_callback = std::function<void(tl::expected<vm_time, command_failure>)>;
using watch_callback = std::function<void(tl::expected<vm_report, command_failure>)>;

// Commands to worker VMs. All calls are asynchronous. Each callback is invoked exactly once, on the
// caller's event loop, and never before the call returns.
class vm_control {
public:
    virtual ~vm_control() = default;

    // A successful start or stop returns the VM's time.
    virtual void start(const vm_info& vm, fencing_token owner, const start_command& command,
                       start_callback done) = 0;
    virtual void stop(const vm_info& vm, fencing_token owner, const task_ref& task, run_number run,
                      stop_callback done) = 0;
    // Long poll for the VM's report, which also extends the VM's lease and acknowledges
    // completions.
    virtual void watch(const vm_info& vm, fencing_token owner, const watch_command& command,
                       watch_callback done) = 0;
};

// One step of one occurrence of a job.
struct step_ref {
    job_id job;
    int occurrence = 0;
    int step = 0;

    friend bool operator<(const step_ref& a, const step_ref& b) {
        if (a.job != b.job) {
            return a.job < b.job;
        }
        return a.occurrence != b.occurrence ? a.occurrence < b.occurrence : a.step < b.step;
    }
};

// A query to the placement advisor: which of these VMs may run tasks of the step.
struct placement_query {
    step_ref step;
    std::vector<vm_id> vms;
    milliseconds service_time{0};  // expected processing time at the advisor
    bool is_long = false;          // should not be sent where short queries would queue behind it
    std::vector<boot_time> boots;  // of `vms`; an answer applies to these incarnations only
};

// How many more queries may be sent now, and how many of these may be long.
struct query_budget {
    int queries = 0;
    int long_queries = 0;
};

struct placement_grant {
    vm_id vm;
    placement_ticket ticket;
};

struct placement_response {
    std::vector<placement_grant> grants;
    milliseconds ticket_lifetime{0};  // how long the tickets are valid
};

// On a failure the result is unknown, and the query may be repeated.
using placement_callback = std::function<void(tl::expected<placement_response, command_failure>)>;

class placement_advisor {
public:
    virtual ~placement_advisor() = default;
    virtual void query(const placement_query& query, milliseconds timeout,
                       placement_callback done) = 0;
};

}  // namespace cranberrydock::fleet
