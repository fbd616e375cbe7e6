// How an owner commands a worker VM. Every command carries the owner's epoch: the VM takes the
// highest epoch that it has seen and refuses lower ones, so of two daemons that both believe to own
// a cell only one can use its VMs.
//
// Leases are stated on the VM's own clock. The owner echoes a reading of that clock from the VM's
// last report plus the lease's length, so a command that was delayed on its way can't extend a
// lease beyond what its sender counts with, and no clocks need to agree: when the lease's length,
// stretched by the permitted drift, has passed on the owner's clock since that report was
// *received*, the lease has lapsed on the VM.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::platform {

// A reading of one VM's monotonic clock in microseconds since its incarnation began.
using vm_time = base::strong_number<struct vm_time_tag>;

// Counts a VM's reports up; a report with a lower number than one already seen is stale.
using report_number = base::strong_number<struct report_number_tag>;

enum class task_end {
    completed,     // ran to its end; the answer is there
    failed,        // ended with an error of its own
    stopped,       // stopped by command
    lease_lapsed,  // stopped by the VM because nobody renewed its lease
    not_started,   // proven not to have run: the upstream refused it or was never reached
    unknown,       // the upstream's answer was lost: it may have run
};

std::string to_string(task_end end);

struct running_task {
    base::attempt_id attempt;
    base::task_id task;
    base::team_id team;
    base::resources reserved;
    base::resources used;  // as last measured; lags
    vm_time lease_until;
};

// Kept by the VM until an owner acknowledges it, or the VM is replaced.
struct finished_task {
    base::attempt_id attempt;
    base::task_id task;
    base::team_id team;
    task_end end = task_end::completed;
    std::string answer;         // the whole answer, or the error's text
    std::string answer_digest;  // hexadecimal SHA-256 of `answer`, made where the task ran
    base::milliseconds ran_for{0};
    base::resources peak_usage;
};

// What a VM knows of itself, sent in answer to every command.
struct vm_report {
    base::incarnation_id incarnation;
    report_number number;
    base::epoch epoch;  // the highest seen
    vm_time now;
    base::resources capacity;
    bool leaving = false;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};

// Take the epoch, answer with the whole report. Starts a new owner's dealings with the VM.
struct hello_command {};

// Run a task. Refused unless it fits, `lease_until` lies ahead, and the incarnation is this one.
// The same attempt sent again does not run again.
struct start_command {
    base::incarnation_id incarnation;
    base::attempt_id attempt;
    base::task_id task;
    base::team_id team;
    base::kind_name kind;
    base::resources reserve;
    vm_time lease_until;
    bool repeatable = true;
    std::string payload;
};

// Extend the leases of these attempts to `lease_until`, forget these finished ones, and answer when
// something has finished since `after`, at the latest after `wait`.
struct watch_command {
    base::incarnation_id incarnation;
    std::vector<base::attempt_id> renew;
    vm_time lease_until;
    std::vector<base::attempt_id> acknowledge;
    report_number after;
    base::milliseconds wait{0};
};

// Stop a task; no error when it is not there.
struct stop_command {
    base::incarnation_id incarnation;
    base::attempt_id attempt;
};

// Make a task save its state, so that a later attempt may go on from it.
struct checkpoint_command {
    base::incarnation_id incarnation;
    base::attempt_id attempt;
};

// Hold a task to this many cores.
struct throttle_command {
    base::incarnation_id incarnation;
    base::attempt_id attempt;
    base::millicores cores;
};

using vm_command_body = std::variant<hello_command, start_command, watch_command, stop_command,
                                     checkpoint_command, throttle_command>;

struct vm_command {
    base::cell_id cell;
    base::epoch epoch;
    vm_command_body body;
};

enum class vm_verdict {
    done,
    lower_epoch,        // refused: a higher epoch was seen
    other_incarnation,  // refused: the VM was replaced or restarted
    lease_passed,       // refused: `lease_until` lies behind
    does_not_fit,       // refused: the VM has no room
    leaving,            // refused: the VM takes no new work
};

std::string to_string(vm_verdict verdict);

// A refused command had no effect. The report is there in every case.
struct vm_reply {
    vm_verdict verdict = vm_verdict::done;
    vm_report report;
};

enum class vm_error {
    not_sent,     // the VM has not seen the command
    answer_lost,  // it may have
};

using vm_result = tl::expected<vm_reply, vm_error>;
using vm_callback = std::function<void(vm_result)>;

class vm_client {
public:
    virtual ~vm_client() = default;

    // Calls `done` once, on the caller's loop, never inside the call, within `timeout`.
    virtual void send(const net::endpoint& vm, vm_command command, base::milliseconds timeout,
                      vm_callback done) = 0;
};

}  // namespace cranberrydock::platform
