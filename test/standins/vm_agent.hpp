// One simulated worker VM, exactly as vm_client.hpp describes it: epoch fencing, incarnations,
// leases on its own clock, starts that are idempotent by attempt, finished tasks kept until they
// are acknowledged. Without I/O and clock of its own: time comes in as a value, answers go out
// through callbacks, so that tests drive it directly.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include "judge.hpp"
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
    base::milliseconds usage_lag{200};  // how late a task's usage is seen in reports
};

using reply_callback = std::function<void(const platform::vm_reply&)>;

class vm_agent {
public:
    // `log` must outlive it. The VM's clock begins at `now`.
    vm_agent(vm_settings settings, judge& log, base::time_point now);

    // Calls `reply` once: inside the call, or, for a watch, in a later call of this object. When
    // the VM is replaced meanwhile, it is never called.
    void handle(const platform::vm_command& command, base::time_point now, reply_callback reply);

    // Does everything that is due by `now`: leases lapse, tasks end, watches are answered.
    void advance(base::time_point now);

    // When advance() next has something to do.
    std::optional<base::time_point> next_event() const;

    // While frozen, tasks make no progress and nothing is answered, but the clock goes on: leases
    // that lapsed meanwhile stop their tasks before these take another step.
    void freeze(base::time_point now);
    void unfreeze(base::time_point now);

    // Everything that ran or was known is lost; a new incarnation begins.
    void replace(base::time_point now);

    void set_leaving(base::time_point now);
    void set_fails_everything(bool fails) { fails_everything_ = fails; }

    // Runs a task that nobody asked for, until it is stopped by command.
    void start_rogue(const base::task_id& task, const base::resources& uses, base::time_point now);

    const vm_settings& settings() const { return settings_; }
    const base::incarnation_id& incarnation() const { return incarnation_; }
    std::size_t running() const { return running_.size(); }
    std::size_t unacknowledged() const { return finished_.size(); }

private:
    struct run {
        judged_run judged;
        base::team_id team;
        simulated_work work;
        base::time_point started;
        std::optional<base::time_point> ends;  // by itself
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

    platform::vm_verdict start(const platform::start_command& what, base::epoch epoch,
                               base::time_point now);
    platform::vm_verdict renew(const platform::watch_command& what, base::time_point now);
    void stop(const platform::stop_command& what, base::time_point now);
    void throttle(const platform::throttle_command& what);

    platform::vm_reply reply_of(platform::vm_verdict verdict, base::time_point now);
    platform::vm_report report(base::time_point now);
    base::resources usage_of(const run& one) const;
    base::resources reserved() const;
    platform::vm_time vm_time_of(base::time_point at) const;
    base::time_point time_of(platform::vm_time at) const;

    void note_news();
    void end_due_runs(base::time_point now);
    void end(const base::attempt_id& attempt, platform::task_end how, base::time_point at);
    void keep_finished(platform::finished_task task);
    void answer_watches(base::time_point now);
    void begin_incarnation(base::time_point now);

    vm_settings settings_;
    judge& judge_;
    int boots_ = 0;
    base::time_point began_;
    base::incarnation_id incarnation_;
    base::epoch epoch_{0};
    platform::report_number number_{0};  // of the last report
    platform::report_number news_{0};    // the first report that tells of the last change
    bool leaving_ = false;
    bool fails_everything_ = false;
    std::optional<base::time_point> frozen_since_;
    std::map<base::attempt_id, run> running_;
    std::map<base::attempt_id, platform::finished_task> finished_;
    // Every attempt that was started or stopped in this incarnation: none starts (again).
    std::map<base::attempt_id, attempt_fate> seen_;
    std::vector<watch> watches_;
};

}  // namespace cranberrydock::standins
