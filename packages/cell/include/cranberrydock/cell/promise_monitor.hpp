// Checks the promises that the system makes against what VMs and daemons report, and names each
// broken promise with its evidence. Pure. It reports a broken promise only when the evidence allows
// no other explanation: a delayed report, an unresponsive VM or a change of a cell's owner breaks
// no promise.
//
// Promises that the stages of a cell check as events arrive (a task that no owner started, an
// incomplete answer) are not checked here again.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include <map>
#include <string>
#include <vector>

namespace cranberrydock::cell {

enum class promise {
    vm_overcommitted,    // tasks reserve more than the VM has
    task_in_two_places,  // two attempts of one task ran at the same time
    team_over_limit,     // a team has more slots running than its upper limit
    started_by_nobody,   // a VM runs a task that no owner started
    answer_not_whole,    // an answer does not match its digest
    withdrawn_key_used,  // work was accepted with a key too long after its withdrawal
    version_went_back,   // a daemon put an older configuration in force
};

// The stable name, for logs, counters and operators.
std::string to_string(promise which);

// All promises in declaration order, so that each one has a counter from the start.
const std::vector<promise>& all_promises();

struct promise_monitor_settings {
    // A team may be seen above its limit for this time, because cells report their usage at
    // different times.
    base::milliseconds usage_grace{5'000};
    // A withdrawn key may be accepted for this time after its withdrawal took effect.
    base::milliseconds withdrawal_grace{5'000};
};

// A VM's report, with the times of its exchange on the observer's clock. The VM made the report
// between the two.
struct observed_report {
    base::vm_id vm;
    platform::vm_report report;
    base::time_point sent;      // when the command was sent
    base::time_point received;  // when the reply arrived
};

// A team's running slots in the whole fleet, as far as the observer has received them.
struct observed_usage {
    base::team_id team;
    base::slot_count running;
    base::slot_count upper_limit;  // of the configuration in force
};

// Work that was accepted with a key.
struct observed_key_use {
    base::key_id key;
    base::daemon_id accepted_by;
    base::time_point taken;
    base::time_point withdrawn;  // when the withdrawal took effect at the observer
};

// `observe` has one overload per kind of observation; each returns the promises that the
// observation shows to be broken. A violation that persists is reported once.
class promise_monitor {
public:
    explicit promise_monitor(const promise_monitor_settings& settings = {}) : settings_(settings) {}

    std::vector<broken_promise> observe(const observed_report& seen);
    std::vector<broken_promise> observe(const observed_usage& seen, base::time_point now);
    std::vector<broken_promise> observe(const observed_key_use& seen) const;
    // The configuration that a daemon reports as in force.
    std::vector<broken_promise> observe(const base::daemon_id& daemon,
                                        base::config_version version);

    // Drops all state of a VM or daemon that is permanently gone.
    void forget(const base::vm_id& vm);
    void forget(const base::daemon_id& daemon);

private:
    struct observed_attempt {
        base::task_id task;
        // The attempt is certain to have run from the receipt of the first report to the request
        // for the last one, and at some time within the last exchange.
        base::time_point first_received;
        base::time_point last_requested;
        base::time_point last_received;
        bool reported = false;
    };
    struct observed_vm {
        base::incarnation_id incarnation;
        platform::report_number number;
        std::map<base::attempt_id, observed_attempt> running;
        bool overcommit_reported = false;
    };
    struct observed_team {
        // The highest usage that is no violation: the limit, or the usage at the time when the
        // limit was lowered below it.
        base::slot_count ceiling;
        base::slot_count upper_limit;
        bool above = false;
        base::time_point above_since;
        bool reported = false;
    };

    void check_capacity(const observed_report& seen, bool any_new,
                        std::vector<broken_promise>& out);
    void check_duplicate_attempts(const base::vm_id& vm, observed_vm& view,
                                  std::vector<broken_promise>& out);

    promise_monitor_settings settings_;
    std::map<base::vm_id, observed_vm> vms_;
    // VMs whose last report lists the task
    std::map<base::task_id, std::vector<base::vm_id>> vms_by_task_;
    std::map<base::team_id, observed_team> teams_;
    std::map<base::daemon_id, base::config_version> versions_;
};

}  // namespace cranberrydock::cell
