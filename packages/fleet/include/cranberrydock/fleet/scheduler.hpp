// The scheduler of the fleet: decides which task starts on which VM, which one stops, and which
// placement questions are asked. Pure: it does no I/O and has no clock; the owner's tasks tell it
// what happened and carry out what it decides.
//
// Its guarantees, whatever the order of events:
// - the runs on a VM never need more than the VM's capacity; a run counts until the VM has listed
//   its end, or is known never to have taken it, or has lost everything;
// - a task has one run at a time;
// - a step starts after all tasks of the steps before it are done;
// - a customer's runs stay within its upper limit;
// - a task that has failed `max_attempts` times is not started again.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/configuration.hpp>
#include <cranberrydock/fleet/job_record.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

// The same moment on this process's steady clock and as a date.
struct moment {
    base::time_point steady;
    unix_time wall;
};

struct start_decision {
    vm_id vm;
    task_ref task;
    run_number run;
    std::string payload;
    checkpoint from;
    placement_ticket ticket;
};

struct stop_decision {
    vm_id vm;
    task_ref task;
    run_number run;
    std::string reason;
};

struct decisions {
    std::vector<start_decision> starts;
    std::vector<stop_decision> stops;
    std::vector<advice_question> questions;
};

struct scheduler_settings {
    // How far a start's answer may be overdue before the VM is told to stop the run.
    int start_tries = 3;
    // Tickets are not used in the last part of their life: the start has to reach the VM.
    milliseconds ticket_margin{250};
    // VMs stop a gang's members that have waited for the others for too long. A gang of which a
    // member is not known to have started after this time is stopped before that.
    milliseconds gang_patience{1'800};
    // VMs with failures of several jobs get no work for so long.
    milliseconds quarantine{4'000};
    // Gangs that cannot be placed keep later, less urgent work off the VMs granted to them.
    int most_reserving_gangs = 2;
    // Runs of inherited tasks are numbered from here, times the owner's fence.
    int runs_per_fence = 64;
    // Times due are not started before they are due.
    milliseconds due_slack{0};
    // How much later than its objective a job may end and still be worth something.
    double late_factor = 3.0;
};

class scheduler {
public:
    scheduler(fence owner, const scheduler_settings& settings, base::metrics& metrics);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    void configure(std::shared_ptr<const fleet_configuration> configuration);

    // VMs. A VM that is seen for the first time is not used before its first report.
    void vm_seen(const vm_facts& facts);
    void vm_reachable(const vm_id& vm, bool reachable);
    // Another incarnation answers under that name. What of the runs there it has not taken on, its
    // next report tells; until then the VM is not used.
    void vm_reborn(const vm_id& vm);
    // The process that ran the VM's tasks has ended. What it was known to run does not run any
    // more; another incarnation may still carry out orders that nobody has answered.
    void vm_ended(const vm_id& vm);
    // Nothing of what was started there runs any more.
    void vm_lost(const vm_id& vm, const std::string& reason);
    // `asked`: when the order that brought the report was sent.
    void vm_reported(const vm_id& vm, const vm_report& report, base::time_point asked,
                     const moment& now);

    // Jobs. `inherited`: an earlier owner may have started some of its tasks.
    void job_submitted(const job_spec& job, const job_progress* progress, bool inherited,
                       const moment& now);
    void job_cancelled(const job_id& job, const moment& now);
    // All jobs are known that were accepted before that moment. Ends that VMs told of earlier and
    // that are of none of these are of jobs that have ended: the VMs may forget them.
    void jobs_known_as_of(base::time_point moment_read);
    // Each VM that may run an inherited task has reported, or its leases have lapsed.
    void inherited_runs_known(const moment& now);

    // Answers to decisions. What has to be ordered again is among the next decisions.
    void start_answered(const vm_id& vm, const task_ref& task, run_number run,
                        const tl::expected<vm_time, order_failure>& answer, const moment& now);
    void stop_answered(const vm_id& vm, const task_ref& task, run_number run,
                       const tl::expected<vm_time, order_failure>& answer, const moment& now);
    void advice_given(const advice_question& question,
                      const tl::expected<advice_answer, order_failure>& answer, const moment& now);

    // Whether nothing is started for now: its owner may not have heard of cancellations.
    void hold_starts(bool held);

    // What is to be done now.
    decisions decide(const moment& now, const adviser_room& advisers);

    // When decide() has something to do though nothing happened: a due time, a quarantine's end.
    std::optional<base::time_point> next_wakeup(const moment& now) const;

    // Jobs whose progress has changed since the last call, and what to write for each.
    struct unsaved_job {
        job_id job;
        std::uint64_t change = 0;  // given back to progress_saved()
        job_progress progress;
    };
    std::vector<unsaved_job> take_unsaved(const moment& now);
    void progress_saved(const job_id& job, std::uint64_t change);

    // Callers can't ask about the job any more: nothing of it has to be remembered.
    void forget(const job_id& job);

    // The highest number of the ends that the VM has listed.
    end_number last_end(const vm_id& vm) const;
    // The highest number up to which the VM may forget its ends.
    end_number acknowledgeable(const vm_id& vm) const;

    // Jobs by queue of which no task has started.
    std::map<queue_name, std::int64_t> jobs_not_started() const;

    struct job_summary {
        customer_name customer;
        queue_name queue;
        job_state state = job_state::queued;
    };
    // Nothing when the job is not known, or not any more.
    std::optional<job_summary> status_of(const job_id& job) const;

    std::size_t job_count() const;
    std::size_t run_count() const;
    // What all usable VMs have, and what of it is taken.
    resources capacity() const;
    resources in_use() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::fleet
