// The protocol by which an owner commands a worker VM. Every command carries the owner's epoch. The
// VM keeps the highest epoch that it has seen and refuses commands with a lower one, so that of two
// daemons that both assume to own a cell only one can use its VMs.
//
// The end of a lease is a reading of the VM's own clock: the owner sends the clock reading of the
// VM's last report plus the length of the lease. A delayed command therefore cannot extend a lease
// beyond the end that its sender assumes, and the clocks need not agree. Once the length of the
// lease, extended by the permitted drift, has passed on the owner's clock since that report was
// *received*, the lease has expired on the VM.
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

// A reading of a VM's monotonic clock, in microseconds since the start of its incarnation.
using vm_time = base::strong_number<struct vm_time_tag>;

// The number of a VM's report, increasing. A report with a lower number than one already seen is
// stale.
using report_number = base::strong_number<struct report_number_tag>;

enum class task_completion {
    completed,      // ran to its end and has an answer
    failed,         // failed with an error of its own
    stopped,        // stopped by a command
    lease_expired,  // stopped by the VM because its lease was not renewed
    not_started,    // proven not to have run: the upstream refused it or was not reached
    unknown,        // may have run: the upstream's answer was lost
};

std::string to_string(task_completion end);

struct running_task {
    base::attempt_id attempt;
    base::task_id task;
    base::team_id team;
    base::resources reserved;
    base::resources used;  // at the last measurement; lags
    vm_time lease_until;
};

// A finished task. The VM keeps it until an owner acknowledges it or the VM is replaced.
struct finished_task {
    base::attempt_id attempt;
    base::task_id task;
    base::team_id team;
    task_completion completion = task_completion::completed;
    std::string answer;         // the complete answer, or the error's text
    std::string answer_digest;  // hexadecimal SHA-256 of `answer`, computed where the task ran
    base::milliseconds ran_for{0};
    base::resources peak_usage;
};

// The state of a VM, sent in reply to every command.
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

// Adopt the epoch and reply with the full report. The first command of a new owner.
struct hello_command {};

// Run a task. Refused unless the task fits, `lease_until` lies in the future and the incarnation is
// current. Repeating the command for the same attempt has no effect.
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

// Extend the leases of the attempts in `renew` to `lease_until`, discard the finished tasks in
// `acknowledge`, and reply once a task has finished since the report `after`, or after `wait` at
// the latest.
struct watch_command {
    base::incarnation_id incarnation;
    std::vector<base::attempt_id> renew;
    vm_time lease_until;
    std::vector<base::attempt_id> acknowledge;
    report_number after;
    base::milliseconds wait{0};
};

// Stop a task. Succeeds when the VM does not run it.
struct stop_command {
    base::incarnation_id incarnation;
    base::attempt_id attempt;
};

// Make a task save its state, so that a later attempt can resume from it.
struct checkpoint_command {
    base::incarnation_id incarnation;
    base::attempt_id attempt;
};

// Limit a task to `cores`.
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
    lower_epoch,        // refused: the VM has seen a higher epoch
    other_incarnation,  // refused: the VM was replaced or restarted
    lease_passed,       // refused: `lease_until` lies in the past
    does_not_fit,       // refused: the VM has not enough free capacity
    leaving,            // refused: the VM accepts no new work
};

std::string to_string(vm_verdict verdict);

// The reply to a command. A refused command has no effect. The report is always present.
struct vm_reply {
    vm_verdict verdict = vm_verdict::done;
    vm_report report;
};

enum class vm_error {
    not_sent,     // the command did not reach the VM or was refused before processing
    answer_lost,  // outcome unknown: the VM may have executed the command
};

using vm_result = tl::expected<vm_reply, vm_error>;
using vm_callback = std::function<void(vm_result)>;

class vm_client {
public:
    virtual ~vm_client() = default;

    // Invokes `done` once within `timeout`, on the caller's loop and never from within send().
    virtual void send(const net::endpoint& vm, vm_command command, base::milliseconds timeout,
                      vm_callback done) = 0;
};

}  // namespace cranberrydock::platform
