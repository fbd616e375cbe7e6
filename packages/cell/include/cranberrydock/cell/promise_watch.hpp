// Watches the promises that the system makes, from what VMs and daemons report, and names one that
// was broken with its evidence. Pure. It speaks only when the evidence leaves no other reading: a
// report that was long on its way, a VM that is silent or a cell that changes its owner is no
// broken promise.
//
// What is judged as it happens, in the stages of a cell (a start by nobody, an answer that is not
// whole), isn't judged here again.
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
    task_in_two_places,  // two attempts of one task ran at the same moment
    team_over_limit,     // a team has more running than its upper limit
    started_by_nobody,   // a VM runs what no owner started
    answer_not_whole,    // an answer does not match its digest
    withdrawn_key_used,  // work was taken under a key too long after its withdrawal
    version_went_back,   // a daemon put an older configuration in force
};

// The stable name, for logs, counters and operators.
std::string to_string(promise which);

// Every promise in declaration order, so that each has a counter from the start.
const std::vector<promise>& all_promises();

struct promise_watch_settings {
    // A team may be seen above its limit for so long: cells tell their usage at different moments.
    base::milliseconds usage_grace{5'000};
    // A withdrawn key may be accepted for so long after its withdrawal was in force.
    base::milliseconds withdrawal_grace{5'000};
};

// A VM's report with the times of its exchange on the observer's clock; it was made in between.
struct observed_report {
    base::vm_id vm;
    platform::vm_report report;
    base::time_point asked;     // the command was sent
    base::time_point received;  // the reply came
};

// What a team has running in the whole fleet, as far as the observer knows.
struct observed_usage {
    base::team_id team;
    base::slot_count running;
    base::slot_count upper_limit;  // of the configuration in force
};

// Work that was taken under a key.
struct observed_key_use {
    base::key_id key;
    base::daemon_id taken_by;
    base::time_point taken;
    base::time_point withdrawn;  // when the withdrawal was in force at the observer
};

// One call a kind of observation; each answers with the promises that it shows to be broken.
// A breach that lasts is told once.
class promise_watch {
public:
    explicit promise_watch(const promise_watch_settings& settings = {}) : settings_(settings) {}

    std::vector<broken_promise> see(const observed_report& seen);
    std::vector<broken_promise> see(const observed_usage& seen, base::time_point now);
    std::vector<broken_promise> see(const observed_key_use& seen) const;
    // The configuration that a daemon says to have in force.
    std::vector<broken_promise> see(const base::daemon_id& daemon, base::config_version version);

    // What is gone for good, so that nothing is kept of it.
    void forget(const base::vm_id& vm);
    void forget(const base::daemon_id& daemon);

private:
    struct sighting {
        base::task_id task;
        // The attempt surely ran from the moment that the first report was received to the moment
        // that the last one was asked for; and at some moment within the last exchange.
        base::time_point first_received;
        base::time_point last_asked;
        base::time_point last_received;
        bool told = false;
    };
    struct vm_view {
        base::incarnation_id incarnation;
        platform::report_number number;
        std::map<base::attempt_id, sighting> running;
        bool told_overcommitted = false;
    };
    struct team_view {
        // The most that is no breach: the limit, or what ran when the limit was lowered below it.
        base::slot_count ceiling;
        base::slot_count upper_limit;
        bool above = false;
        base::time_point above_since;
        bool told = false;
    };

    void check_capacity(const observed_report& seen, bool any_new,
                        std::vector<broken_promise>& out);
    void check_places(const base::vm_id& vm, vm_view& view, std::vector<broken_promise>& out);

    promise_watch_settings settings_;
    std::map<base::vm_id, vm_view> vms_;
    std::map<base::task_id, std::vector<base::vm_id>> places_;  // VMs whose last report names it
    std::map<base::team_id, team_view> teams_;
    std::map<base::daemon_id, base::config_version> versions_;
};

}  // namespace cranberrydock::cell
