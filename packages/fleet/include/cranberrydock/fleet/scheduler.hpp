// The scheduler of the fleet. It decides which tasks start on which VMs, which runs are stopped and
// which placement queries are sent. It does no I/O and has no clock: the owner daemon reports
// events and carries out the decisions.
//
// It guarantees, for any order of events:
// - The runs on a VM never need more than the VM's capacity. A run counts until the VM has listed
//   its completion, is known never to have accepted it, or has lost all of its runs.
// - A task has at most one run at a time.
// - A step starts only when all tasks of the steps that it depends on are done.
// - A customer's runs stay within the customer's upper limit.
// - A task that has failed `max_attempts` times is not started again.
// - A task that crashes the VMs that run it is not started again after five of them have crashed.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/configuration.hpp>
#include <cranberrydock/fleet/crash_evidence.hpp>
#include <cranberrydock/fleet/ended_run.hpp>
#include <cranberrydock/fleet/job_rows.hpp>
#include <cranberrydock/fleet/load_estimate.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

// One point in time on this process's steady clock and in wall-clock time.
struct clock_reading {
    base::time_point steady;
    unix_time wall;
};

struct start_decision {
    vm_id vm;
    task_ref task;
    run_number run;
    std::string payload;
    checkpoint resume_from;   // empty: start from the beginning
    placement_ticket ticket;  // empty if the queue needs no placement grants
    // The task's previous run under this owner, with the first command for a run.
    std::optional<ended_run> previous;
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
    std::vector<placement_query> queries;
};

// Why a step with tasks to start was not placed when it was last considered.
enum class wait_reason : std::uint8_t {
    not_considered,   // in no decision since its task waits
    inherited_runs,   // runs of previous owners are not known yet
    gang_ending,      // members of the gang's previous run have not ended
    customer_limit,   // the customer's limit, or its share of the steps that are considered
    no_room,          // on the VMs that may run it; further VMs cannot be queried now
    lookahead,        // steps ahead of it take the capacity for which queries are sent
    no_free_advisor,  // no daemon can send another query
    query_open,
    query_sent,
    probation,  // suspected of crashing VMs: too many VMs run such tasks, or the evidence is
                // unsaved
    progress_rejected,  // by the store
    pending_starts,     // too many starts are unanswered
};

const char* to_string(wait_reason reason);

// A step of which a task has waited for a long time although there is room for it.
struct overdue_step {
    step_ref step;
    queue_name queue;
    customer_name customer;
    int first_task = 0;  // index of the first task that waits
    milliseconds waited{0};
    wait_reason reason = wait_reason::not_considered;
    milliseconds considered_before{0};  // time since `reason` was recorded
    std::size_t valid_grants = 0;
    std::size_t expired_grants = 0;
    std::size_t denied = 0;  // VMs that the placement advisor did not grant
    resources need;          // of each task
    resources headroom;      // of the customer
};

struct scheduler_settings {
    // How often a start is sent without an answer before the VM is commanded to stop the run.
    int max_start_attempts = 3;
    // Tickets are not used in this last part of their lifetime, since the start command has to
    // reach the VM in time.
    milliseconds ticket_margin{250};
    // VMs stop members of a gang that have waited too long for the other members. The scheduler
    // stops the gang before that, if a member's start is not confirmed within this time.
    milliseconds gang_start_timeout{1'800};
    // How long a VM gets no tasks after tasks of several jobs have failed on it.
    milliseconds quarantine{4'000};
    // The number of waiting gangs that reserve the VMs granted to them against less urgent work.
    int max_reserving_gangs = 2;
    // The run numbers of inherited tasks start at this number times the owner's fencing token.
    int runs_per_fencing_token = 64;
    // How long after its due time an occurrence starts.
    milliseconds due_delay{0};
    // A job that ends later than this multiple of its objective has no more value.
    double late_factor = 3.0;
    crash_settings crashes;
    // Most unanswered starts, and likewise stops. Each takes memory for its request and its
    // connection, and a new owner may find room for the work of the whole fleet at once. More than
    // the VMs and the network carry out within the timeout of a command would be lost and repeated.
    std::size_t max_pending_commands = 2'048;
    // The same for each VM, but not less than the minimum for all of them.
    std::size_t pending_commands_per_vm = 8;
    std::size_t min_pending_commands = 512;
    // Most unanswered starts on one VM, so that a few unresponsive VMs do not take up the limit.
    std::size_t max_pending_starts_per_vm = 16;
    // A job whose progress may need more is stored in blocks.
    std::size_t max_progress_row_bytes = 32'768;
};

class scheduler {
public:
    scheduler(fencing_token owner, const scheduler_settings& settings, base::metrics& metrics);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    void configure(std::shared_ptr<const fleet_configuration> configuration);

    // VMs. A new VM is not used before its first report.
    void vm_listed(const vm_info& facts);
    // A VM that is not reachable may have crashed.
    void vm_reachable(const vm_id& vm, bool reachable);
    // Nothing listens at the VM's address: its process has ended, or the path refuses connections.
    void vm_refuses_connections(const vm_id& vm);
    // Another incarnation of the VM responds. Its next report shows which runs it has accepted;
    // until then the VM is not used.
    void vm_restarted(const vm_id& vm);
    // The process that ran the VM's tasks has ended, and so have its confirmed runs. Another
    // incarnation may still carry out commands that have not been answered.
    void vm_process_ended(const vm_id& vm);
    // All runs that were started on the VM have ended, since all leases have expired. Removes the
    // VM.
    void vm_lost(const vm_id& vm, const std::string& reason, const lease_expiry& expiry,
                 const clock_reading& now);
    // `requested_at`: when the command that the report answers was sent.
    void vm_reported(const vm_id& vm, const vm_report& report, base::time_point requested_at,
                     const clock_reading& now);

    // Jobs. `progress` is null if none has been saved. `inherited`: a previous owner may have
    // started some of the job's tasks.
    void add_job(const job_spec& job, const job_progress* progress, bool inherited,
                 const clock_reading& now);
    void cancel_job(const job_id& job, const clock_reading& now);
    // All jobs that were accepted before `read_at` have been submitted. If a completion was
    // received earlier and belongs to none of them, its job has ended, and the VM may forget the
    // completion.
    void jobs_read_as_of(base::time_point read_at);
    // Upper bound of what a previous owner's runs take on VMs that are not listed. Applies until
    // inherited_runs_reported().
    void reserve_for_unlisted_vms(const resources& capacity);
    // Every VM that may run an inherited task has reported, or its leases have expired.
    // `latest_run_end`: of previous owners; only for the measure of restarts.
    void inherited_runs_reported(const clock_reading& now,
                                 std::optional<base::time_point> latest_run_end = std::nullopt);

    // Answers to decisions. Commands that have to be repeated are among the next decisions.
    void start_answered(const vm_id& vm, const task_ref& task, run_number run,
                        const tl::expected<vm_time, command_failure>& answer,
                        const clock_reading& now);
    void stop_answered(const vm_id& vm, const task_ref& task, run_number run,
                       const tl::expected<vm_time, command_failure>& answer,
                       const clock_reading& now);
    void query_answered(const placement_query& query,
                        const tl::expected<placement_response, command_failure>& answer,
                        const clock_reading& now);

    // While held, nothing is started: the owner may not have received recent cancellations.
    void hold_starts(bool held);

    // Makes the decisions that are possible now. Sends at most the queries of `budget`.
    decisions decide(const clock_reading& now, const query_budget& budget);

    // When decide() has to be called next even if no event occurs: at a due time or at the end of a
    // quarantine. Empty if no such time is set.
    std::optional<base::time_point> next_wakeup(const clock_reading& now) const;

    // The jobs whose progress has changed since the last call, and the progress to write for each.
    struct unsaved_job {
        job_id job;
        std::uint64_t change = 0;  // argument for progress_saved()
        job_progress progress;

        // Adds what was to be written of an earlier change and has not been.
        void take_over(unsaved_job&& earlier) { progress.blocks.merge(earlier.progress.blocks); }
    };
    std::vector<unsaved_job> take_unsaved_jobs(const clock_reading& now);
    void progress_saved(const job_id& job, std::uint64_t change);
    // The store does not accept the job's progress. None of its tasks is started before one of its
    // changes is saved: completions that can't be saved hold back others in the VMs' lists.
    void progress_rejected(const job_id& job);

    // Forgets an ended job: callers can no longer request its status.
    void forget(const job_id& job);

    // The highest number of the completions that the VM has listed.
    completion_number last_completion(const vm_id& vm) const;
    // The number up to which the VM may forget its completions.
    completion_number acknowledgeable_completion(const vm_id& vm) const;

    // Whether the VM leaves and has no run: none that it listed, and no start command that it may
    // still carry out.
    bool is_drained(const vm_id& vm) const;

    // For each queue, the number of jobs of which no task has started.
    std::map<queue_name, std::int64_t> jobs_not_started() const;

    // The queues that are isolated, since their tasks crash VMs, and have more jobs waiting than
    // can soon be tried. Their new jobs are better refused, for the time given.
    std::map<queue_name, milliseconds> isolated_queues(const clock_reading& now) const;

    // The waiting work of each queue and the state of each service. A long backlog is sampled, so
    // that the cost of a call is bounded.
    load_sample load(const clock_reading& now) const;

    struct job_summary {
        customer_name customer;
        queue_name queue;
        job_state state = job_state::queued;
    };
    // Empty if the job is not known, or no longer known.
    std::optional<job_summary> status_of(const job_id& job) const;

    std::size_t job_count() const;
    std::size_t run_count() const;
    // The capacity of all VMs that have reported and are not leaving.
    resources capacity() const;
    // Steps of which no task has started for `min_wait` although their needs fit twice over into
    // the free capacity of usable VMs. Examines at most `max_examined` steps, which differ between
    // calls, and returns at most `max_count`.
    std::vector<overdue_step> overdue_steps(const clock_reading& now, milliseconds min_wait,
                                            std::size_t max_examined, std::size_t max_count);
    // The capacity that runs take on all VMs.
    resources in_use() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::fleet
