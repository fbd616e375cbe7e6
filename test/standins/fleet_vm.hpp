// A worker VM of the fleet as a plain value: it checks fencing tokens and leases, runs tasks in
// simulated time, and keeps the completions of its runs until they are acknowledged.
#pragma once

#include <cranberrydock/fleet/vm_control.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {

// How a task behaves once it has started.
struct task_behavior {
    base::milliseconds run_time{100};
    bool fails = false;
    std::size_t gang_size = 0;  // number of members; 0: not a gang task
    base::resources need;
    // The run crashes its VM at this age.
    std::optional<base::milliseconds> crashes_vm_after{};
};

class fleet_vm {
public:
    // Returns the behavior of a task's run.
    using task_behavior_function =
        std::function<task_behavior(const fleet::task_ref&, fleet::run_number)>;

    // The end of a run, which may be earlier than the VM's clock by as much as it was moved on.
    struct run_end {
        fleet::task_ref task;
        fleet::completion_kind kind = fleet::completion_kind::done;
        fleet::vm_time at;
    };
    using run_end_function = std::function<void(const run_end&)>;

    // Runs that are stopped or whose lease has expired end after `stop_time`. Until then they are
    // listed as running and hold their capacity. Each end of a run is passed to `on_run_end`.
    fleet_vm(fleet::vm_info facts, task_behavior_function work,
             base::milliseconds stop_time = base::milliseconds{0}, run_end_function on_run_end = {})
        : facts_(std::move(facts)),
          behavior_(std::move(work)),
          stop_time_(stop_time),
          on_run_end_(std::move(on_run_end)) {}

    const fleet::vm_info& facts() const { return facts_; }
    // Longer leases are shortened to this.
    void set_max_lease(base::milliseconds lease) { max_lease_ = lease; }
    // Does not affect the runs: the VM starts what it is told to.
    void set_capacity(const base::resources& capacity) { facts_.capacity = capacity; }

    tl::expected<fleet::vm_time, fleet::command_failure> start(fleet::fencing_token owner,
                                                               const fleet::start_command& order);
    tl::expected<fleet::vm_time, fleet::command_failure> stop(fleet::fencing_token owner,
                                                              const fleet::task_ref& task,
                                                              fleet::run_number run);
    tl::expected<fleet::vm_report, fleet::command_failure> watch(fleet::fencing_token owner,
                                                                 const fleet::watch_command& order);

    // Completions that no owner has acknowledged.
    const std::vector<fleet::task_completion>& unacknowledged() const { return completions_; }
    fleet::fencing_token fencing_token() const { return fencing_token_; }
    // True if the VM's lease has expired.
    bool leases_expired() const { return now_ > lease_until_; }
    fleet::vm_time now() const { return now_; }
    base::milliseconds stop_time() const { return stop_time_; }

    // Ends no run for this time on the VM's clock; the leases go on. No effect while it is paused.
    void pause(base::milliseconds time);
    bool paused() const { return now_ < paused_until_; }

    // The end of the lease on the VM's clock.
    fleet::vm_time lease_until() const { return lease_until_; }

    // Moves the VM's clock on. Ends runs whose time is over or whose lease has expired.
    void advance(base::milliseconds by);
    // Loses all state and restarts as another incarnation.
    void crash();
    // The same under another name.
    void restart_as(const fleet::vm_id& id) {
        crash();
        facts_.id = id;
    }

    struct run {
        fleet::run_number number;
        base::milliseconds remaining{0};
        task_behavior behavior;
        base::milliseconds age{0};
        // Why and when the run ends, once that is decided.
        fleet::completion_kind end_kind = fleet::completion_kind::done;
        std::optional<fleet::vm_time> ends_at;
    };
    const std::map<fleet::task_ref, run>& running() const { return running_; }
    // Ends a run for an external reason, such as the end of another member of its gang.
    void end_run(const fleet::task_ref& task, fleet::completion_kind kind);

private:
    void end_run(const fleet::task_ref& task, fleet::completion_kind kind, fleet::vm_time at);
    void extend_lease(fleet::vm_time until);

    fleet::vm_info facts_;
    task_behavior_function behavior_;
    base::milliseconds stop_time_;
    run_end_function on_run_end_;
    fleet::vm_time paused_from_;
    fleet::vm_time paused_until_;
    fleet::vm_time now_{1'000};
    fleet::fencing_token fencing_token_;
    fleet::vm_time lease_until_;
    std::optional<base::milliseconds> max_lease_;
    std::map<fleet::task_ref, run> running_;
    // Per task, the highest run that ended or was stopped, also before its start arrived.
    std::map<fleet::task_ref, fleet::run_number> highest_ended_;
    std::vector<fleet::task_completion> completions_;
    fleet::completion_number last_completion_;
};

}  // namespace cranberrydock::standins
