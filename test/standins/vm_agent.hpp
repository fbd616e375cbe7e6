// One simulated worker VM, exactly as vm_client.hpp describes it: epoch fencing, incarnations,
// leases on its own clock, starts that are idempotent by attempt, finished tasks kept until they
// are acknowledged. It has no I/O and reads no clock: callers pass the time as a value and receive
// answers through callbacks, so that tests can drive it directly.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include "run_checker.hpp"
#include "simulated_work.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct vm_settings {
    base::vm_id id;
    base::resources capacity;
    base::milliseconds usage_lag{200};  // delay until reports show a task's usage
};

using reply_callback = std::function<void(const platform::vm_reply&)>;

class vm_agent {
public:
    // `checker` must outlive it. The VM's clock starts at `now`.
    vm_agent(vm_settings settings, run_checker& checker, base::time_point now);

    // Calls `reply` once: inside this call or, for a watch, inside a later call of this object. If
    // the VM is replaced first, `reply` is never called.
    void handle(const platform::vm_command& command, base::time_point now, reply_callback reply);

    // Processes all events up to `now`: leases expire, tasks end, watches are answered.
    void advance(base::time_point now);

    // The time of the next event that advance() will process; empty if there is none.
    std::optional<base::time_point> next_event() const;

    // While suspended, tasks make no progress and nothing is answered, but the clock goes on:
    // leases that expired in the meantime stop their tasks before these make further progress.
    void suspend(base::time_point now);
    void resume(base::time_point now);

    // Loses all tasks and all state; a new incarnation begins.
    void replace(base::time_point now);

    void set_leaving(base::time_point now);
    void set_fails_everything(bool fails) { fails_everything_ = fails; }

    // Runs a task that no owner has started, until a command stops it.
    void start_rogue(const base::task_id& task, const base::resources& uses, base::time_point now);

    const vm_settings& settings() const { return settings_; }
    const base::incarnation_id& incarnation() const { return incarnation_; }
    std::size_t running() const { return running_.size(); }
    std::size_t unacknowledged() const { return finished_.size(); }

private:
    struct run {
        checked_run checked;
        base::team_id team;
        simulated_work work;
        base::time_point started;
        std::optional<base::time_point> ends;  // empty: runs until it is stopped
        bool rogue = false;
        std::optional<base::millicores> throttled_to;
    };

    enum class attempt_fate { started, stopped_before_start };

    struct watch {
        platform::report_number after;
        base::epoch epoch;
        base::time_point deadline;
        reply_callback reply;
    };

    struct command_visitor;

    platform::vm_verdict start(const platform::start_command& requested, base::epoch epoch,
                               base::time_point now);
    platform::vm_verdict renew(const platform::watch_command& requested, base::time_point now);
    void stop(const platform::stop_command& requested, base::time_point now);
    void throttle(const platform::throttle_command& requested);

    platform::vm_reply reply_of(platform::vm_verdict verdict, base::time_point now);
    platform::vm_report report(base::time_point now);
    base::resources usage_of(const run& task_run) const;
    base::resources reserved() const;
    platform::vm_time vm_time_of(base::time_point at) const;
    base::time_point time_of(platform::vm_time at) const;

    void mark_change();
    void end_expired_runs(base::time_point now);
    void end(const base::attempt_id& attempt, platform::task_completion kind, base::time_point at);
    void add_finished(platform::finished_task task);
    void answer_watches(base::time_point now);
    void begin_incarnation(base::time_point now);

    vm_settings settings_;
    run_checker& checker_;
    int incarnation_count_ = 0;
    base::time_point clock_start_;
    base::incarnation_id incarnation_;
    base::epoch epoch_{0};
    platform::report_number last_report_{0};  // number of the last report
    // Number of the first report that shows the last change.
    platform::report_number first_report_with_change_{0};
    bool leaving_ = false;
    bool fails_everything_ = false;
    std::optional<base::time_point> suspended_since_;
    std::map<base::attempt_id, run> running_;
    std::map<base::attempt_id, platform::finished_task> finished_;
    // Every attempt that was started or stopped in this incarnation. None of them may start again.
    std::map<base::attempt_id, attempt_fate> attempt_fates_;
    std::vector<watch> watches_;
};

}  // namespace cranberrydock::standins
