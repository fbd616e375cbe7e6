// The scheduler's state, shared by its parts: jobs (scheduler_jobs.cpp), VMs (scheduler_vms.cpp),
// completions of runs (scheduler_completions.cpp), crashes of VMs (scheduler_crashes.cpp), the
// ranking of steps (step_ranking.cpp), placement (placement.cpp) and placement queries
// (placement_queries.cpp).
#pragma once

#include <cranberrydock/fleet/scheduler.hpp>

#include "queue_history.hpp"
#include "step_order.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace cranberrydock::fleet::detail {

using base::time_point;

enum class run_phase {
    starting,  // the start is decided; the VM has not confirmed that the run started
    running,
    stopping,  // a stop is requested; the VM has not listed the completion yet
};

// A run that may take capacity of a VM.
struct placed_run {
    task_ref task;
    run_number run;
    resources need;
    customer_name customer;
    bool unknown = false;  // its job is not known to this owner
    run_phase phase = run_phase::starting;
    time_point placed_at{};
    std::optional<time_point> confirmed_at;  // when the VM first confirmed the run
    bool listed = false;                     // in a report of the VM's current incarnation
    int start_attempts = 1;
    bool adopted = false;  // a previous owner started it, perhaps with several commands
    // An unanswered start command for an earlier incarnation may still reach the current one.
    bool may_start_late = false;
    bool start_pending = true;  // a start command is unanswered
    bool stop_pending = false;  // a stop command is unanswered
    // The unanswered stop command was issued to an earlier incarnation.
    bool stop_outdated = false;
    // When a stop command was answered. A report that was requested later and does not show the run
    // proves that it never will run.
    std::optional<time_point> stop_answered;
    std::optional<time_point> stop_retry_at;  // no stop command before this
    std::string stop_reason;
    int percent = 0;
    time_point progressed_at{};  // when `percent` or the checkpoint last changed
    checkpoint saved;
    // Has ended, and how is among the completions that the VM has not listed yet.
    bool completion_unlisted = false;
    bool unresolved = false;     // is in its task's `crash_evidence::unresolved`
    bool crash_counted = false;  // the crash that ended it is counted

    // Whether a start command may be unanswered although the run is confirmed.
    bool start_repeated() const { return adopted || start_attempts > 1; }
};

// A completion that the VM may not forget before its effect on the job is saved.
struct unsaved_completion {
    completion_number number;
    job_id job;
    std::uint64_t change = 0;     // the job's change that has to be saved first
    bool of_unknown_job = false;  // the VM must not forget it until the job is known
};

// A completion whose job is not known yet: the job may still be read from the store.
struct held_completion {
    vm_id vm;
    task_completion completion;
    time_point received_at;
};

struct vm_record {
    vm_info facts;
    // The most that it has had since this owner listed it: what its runs can need.
    resources largest_capacity;
    // The VM's index in tables of VMs. Never reused for another VM.
    std::size_t number = 0;
    bool reported = false;  // under this owner's fencing token, so its runs are known
    bool ended = false;     // its process has ended and it has not reported since
    bool reachable = true;
    time_point unreachable_since{};
    bool loss_counted = false;  // by count_queue_losses(), since then
    std::map<task_ref, placed_run> runs;
    resources used;                  // the sum over `runs`
    std::size_t pending_starts = 0;  // of `runs`
    // Runs in the last report of tasks that have another run in `runs`.
    std::map<task_ref, running_task> concealed;
    // The capacity that steps are expected to take here if their open queries are granted,
    // separately for short and for long queries.
    resources expected_by_short_queries;
    resources expected_by_long_queries;
    completion_number last_completion;
    bool lists_all_completions = true;  // in the last report
    std::deque<unsaved_completion> unsaved;
    time_point avoid_until{};  // end of a quarantine, or of the pause after a refused start
    // Jobs whose tasks have failed here since the last success.
    std::set<job_id> failed_jobs;
    boot_time reported_boot;            // of the incarnation that reported last
    time_point answered_at{};           // the last answer of the current incarnation
    time_point last_placed_at{};        // the last start of a run
    bool on_probation = false;          // a suspected task runs here; nothing else is started
    time_point for_probations_until{};  // avoided by other tasks

    // Negative if the capacity has shrunk under the runs.
    resources free() const { return facts.capacity - used; }
    // The capacity that a new query may count on. Two steps that count on the same capacity would
    // find it taken. Short queries belong to urgent work, so they ignore what steps with long
    // queries may need later.
    resources free_for_query(bool is_long) const {
        const resources remaining = facts.capacity - used - expected_by_short_queries;
        return is_long ? remaining - expected_by_long_queries : remaining;
    }
    resources& expected_use(bool is_long) {
        return is_long ? expected_by_long_queries : expected_by_short_queries;
    }
};

constexpr std::size_t min_vms_per_query = 6;

// The service time of a query that names `vms` VMs.
inline milliseconds cost_of(const placement_query_cost& cost, std::size_t vms) {
    return cost.per_query +
           std::chrono::duration_cast<milliseconds>(cost.per_vm * static_cast<std::int64_t>(vms));
}

// The capacity that an open query counts on at one of the VMs that it names.
struct expectation {
    std::size_t vm_number = 0;
    resources needed;
    bool is_long = false;
};

// The advisor's permission to run a step on a VM.
struct grant {
    placement_ticket ticket;
    time_point until;
    boot_time boot;  // of the incarnation that the ticket is for
};

struct task_state {
    bool done = false;
    std::vector<run_number> failed_runs;  // empty for a long-running task
    run_number last_run;
    // Where its run is placed. Null exactly if no VM has a run of it on record; only then it may be
    // started.
    vm_record* vm = nullptr;
    checkpoint saved;
    std::unique_ptr<ended_run> previous;  // its last run that has ended under this owner
    crash_evidence crashes;
    std::uint64_t crashes_change = 0;  // the job's change that has to be saved before a start
};

struct step_state {
    const step_spec* spec = nullptr;
    std::vector<task_state> tasks;
    int done_count = 0;
    // Keys are VM numbers.
    std::map<std::size_t, grant> grants;
    // The incarnations of VMs that a query named and the advisor did not grant.
    std::map<std::size_t, boot_time> not_granted;
    bool query_open = false;
    time_point last_query_at{};
    // Answers of the advisor since a task was last started. With at least one, the step can't use
    // the capacity that is free now: none of the VMs granted to it has room.
    int answers_without_start = 0;
    time_point opened_at{};
    // Since when a task has waited while no other one of the step started.
    time_point waits_since{};
    time_point considered_at{};  // when `waits_for` was recorded
    wait_reason waits_for = wait_reason::not_considered;

    bool finished() const { return done_count == static_cast<int>(tasks.size()); }
};

struct job_record {
    job_spec spec;
    // In the current configuration; null: the queue has been removed.
    const queue_config* queue = nullptr;
    // Of its queue; kept when the queue is removed, since its tasks then still need tickets.
    std::optional<placement_query_cost> query_cost;
    job_state state = job_state::queued;
    bool inherited = false;
    bool over_share = false;     // exceeds its customer's entitlement in jobs per second
    bool started = false;        // at least one task has started
    bool start_counted = false;  // in the queue's `first_starts`
    unix_time ended;
    // Occurrences whose due time has passed. Those that a previous owner has finished are missing.
    std::map<int, std::vector<step_state>> occurrences;
    int next_occurrence = 0;              // the first occurrence that is not due yet
    int finished_before = 0;              // all occurrences before this one are finished
    std::uint64_t change = 0;             // incremented by every change that has to be saved
    std::uint64_t last_taken_change = 0;  // at the last take_unsaved_jobs()
    std::uint64_t saved = 0;              // the last saved change
    bool in_blocks = false;               // how its progress is stored
    std::set<block_ref> changed_blocks;   // since the last take_unsaved_jobs(); if `in_blocks`
    bool progress_rejected = false;       // the store does not accept its progress
    bool occurrence_held = false;         // its next one is due and has to wait for earlier ones
    int placed_runs = 0;                  // on all VMs
    int probations = 0;                   // that began with one of its tasks
    // For each step, the expected time from its start to the job's end.
    std::vector<milliseconds> critical_paths;
    time_point critical_paths_at{};  // when they were computed

    const queue_terms& terms() const { return queue == nullptr ? spec.terms : queue->terms; }
};

// An open step in one decision.
struct open_step {
    const step_ref* ref = nullptr;
    job_record* job = nullptr;
    step_state* step = nullptr;
    const queue_terms* terms = nullptr;
    const placement_query_cost* advice = nullptr;  // null: the step needs no placement grants
    int tier = 0;
};

// Limits the queries of one decision to the work that can be placed soon. Each waiting step takes
// its need from the lookahead of all less urgent ones.
struct query_lookahead {
    resources free_now;
    resources free_soon;  // expected to become free while the queries are being answered
};

// A usable VM with the free cores that a query could count on when the round began.
struct vm_with_free_cores {
    base::millicores free;
    vm_record* vm = nullptr;
};

// How likely a task on probation crashes its VM.
enum class probation_risk : std::uint8_t {
    low,     // it ran on a VM that crashed, beside others that explain it as well
    medium,  // nothing is known of it, and its queue is isolated
    high,    // a VM crashed under it that no other run explains
};

// Runs of suspected tasks that were started on a VM together, until each has ended or outlived the
// probation. If the VM is lost, until it is known whether it has crashed.
struct probation {
    struct member {
        task_ref task;
        run_number run;
    };
    std::vector<member> members;
    job_id job;  // of the first member
    probation_risk risk = probation_risk::low;
    bool may_be_shared = false;
    time_point began{};
    std::optional<time_point> lost_at;
};

// Prompt losses of VMs that had just started runs of a queue.
struct queue_crashes {
    struct loss {
        time_point at;
        double weight = 0;  // 1, shared by the runs that explain the loss
    };
    std::deque<loss> recent;
    time_point isolated_until{};
};

// The state of one round of placement, shared by all open steps.
struct placement_round {
    std::vector<vm_record*> usable;
    std::vector<bool> reserved;  // indexed by VM number: reserved for waiting gangs
    query_budget budget;         // queries that may still be sent
    query_lookahead lookahead;   // of the fleet
    std::size_t max_probations = 1;
    // Of the steps that were let through to begin one, in shares of a shared probation.
    std::size_t probation_claims = 0;
    std::size_t high_risk_claims = 0;
    // Of each customer whose steps have been considered so far.
    std::map<customer_name, query_lookahead> customer_lookahead;
    // The usable VMs by their free cores, for long and for other queries. Made for the first query.
    std::vector<vm_with_free_cores> by_free_cores[2];

    bool is_reserved(const vm_record& vm) const {
        return vm.number < reserved.size() && reserved[vm.number];
    }
};

// The number of the step's tasks on the VM, for steps that limit it.
int running_on(const vm_record& vm, const step_ref& ref);

// A token bucket for a customer's entitlement in jobs per second. Its size is that of one second.
struct entitlement {
    double tokens = 0;
    time_point last_refill{};
};

}  // namespace cranberrydock::fleet::detail

namespace cranberrydock::fleet {

struct scheduler::state {
    state(fencing_token owner_token, const scheduler_settings& initial_settings,
          base::metrics& registry)
        : owner(owner_token), settings(initial_settings), metrics(&registry) {}

    fencing_token owner;
    scheduler_settings settings;
    base::metrics* metrics;
    std::shared_ptr<const fleet_configuration> configuration =
        std::make_shared<fleet_configuration>();
    std::unordered_map<queue_name, const queue_config*> queues;  // in `configuration`
    milliseconds shortest_query{0};  // the lowest service time of a query of any queue
    std::unordered_map<vm_id, std::unique_ptr<detail::vm_record>> vms;
    std::vector<detail::vm_record*> vms_by_number;  // indexed by VM number; null: the VM is gone
    std::unordered_map<job_id, std::unique_ptr<detail::job_record>> jobs;
    // A step without tasks to start is dropped when a decision considers it.
    detail::step_order open;
    base::time_point first_decision{};
    base::time_point last_decision{};
    std::map<step_ref, std::vector<detail::expectation>> expectations;  // of open queries
    std::set<step_ref> forming_gangs;               // gangs with members that are being started
    std::set<job_id> timed_jobs;                    // jobs with occurrences that are not due yet
    std::set<std::pair<vm_id, task_ref>> stopping;  // runs with a requested stop
    std::set<std::pair<task_ref, vm_id>> unknown_runs;  // runs of unknown jobs
    // Runs of known tasks that have another run on record, at `task_state::vm`. All of them are
    // being stopped.
    std::set<std::pair<task_ref, vm_id>> further_runs;
    // Completions of unknown jobs.
    std::map<job_id, std::vector<detail::held_completion>> held_completions;
    std::set<std::pair<vm_id, task_ref>> starts_to_retry;  // start commands without an answer
    std::size_t pending_starts = 0;                        // on all VMs
    std::set<job_id> dirty_jobs;                           // jobs with unsaved changes
    // Jobs that have ended under this owner. Their rows may still arrive from a read of the store
    // that is older than their end.
    std::unordered_set<job_id> ended;
    // For each queue, the jobs that are neither started nor in a final state.
    std::map<queue_name, std::int64_t> jobs_not_started;
    std::set<job_id> jobs_to_forget;  // in a final state and saved, but may still have runs on VMs
    std::unordered_map<customer_name, resources> in_use;
    // Upper bound of the use by runs of unknown jobs, which may belong to any customer.
    resources unknown_use;
    // Upper bound of the use by a previous owner's runs on VMs that have not reported yet, listed
    // or not, and the part of it for VMs that are not listed.
    resources unreported_use;
    resources unlisted_use;
    std::unordered_map<customer_name, detail::entitlement> entitlements;
    std::map<queue_name, detail::queue_history> history;
    // Only the counters are kept here.
    std::map<service_name, service_load> service_counters;
    std::map<queue_name, queue_load> queue_counters;
    bool inherited_known = false;
    std::optional<base::time_point> latest_inherited_run_end;  // of previous owners
    bool starts_held = false;
    std::map<std::size_t, detail::probation> probations;  // by VM number
    std::map<queue_name, detail::queue_crashes> queue_crashes;
    std::size_t max_probations = 0;  // of the last decision
    unexplained_crashes unexplained;
    base::milliseconds observed_vm_time{0};  // under this owner, summed over the VMs
    std::int64_t crash_count = 0;            // likewise
    std::set<task_ref> crashing_tasks;       // with new evidence that is to be weighed
    std::set<task_ref> unresolved_tasks;     // with lost runs whose VMs may have crashed

    // scheduler_jobs.cpp
    void mark_changed(detail::job_record& job);
    void mark_changed(detail::job_record& job, const task_ref& task);
    // All tasks of the step.
    void mark_step_changed(detail::job_record& job, const task_ref& task,
                           const detail::step_state& step);
    // Restores the progress that a previous owner has saved.
    void restore(detail::job_record& job, const job_progress& progress);
    bool may_open_next_occurrence(detail::job_record& job);
    // A first task of the job has started.
    void mark_started(detail::job_record& job);
    void remove_from_not_started(const detail::job_record& job);
    void open_ready_steps(detail::job_record& job, int occurrence);
    void mark_open(const step_ref& ref, detail::job_record& job, detail::step_state& step);
    void add_occurrence(detail::job_record& job, int occurrence);
    void open_next_occurrence(detail::job_record& job);
    void open_up_to(const task_ref& task);
    void open_due_occurrences(const clock_reading& now);
    detail::step_state* find_step(const task_ref& task, detail::job_record** job);
    void task_done(detail::job_record& job, const task_ref& task, detail::step_state& step,
                   const clock_reading& now);
    void task_failed(detail::job_record& job, const task_ref& task, detail::step_state& step,
                     run_number run, const clock_reading& now);
    void finish_job(detail::job_record& job, job_state final_state, const clock_reading& now);
    void stop_runs_of(detail::job_record& job, const std::string& reason);
    void stop_step(const step_ref& ref, detail::step_state& step, const std::string& reason);
    const queue_config* find_queue(const queue_name& name) const;
    void update_queue(detail::job_record& job) const;
    // Whether queries of this cost must not delay the shortest queries.
    bool is_long_query(const placement_query_cost& cost) const;
    const std::vector<milliseconds>& critical_paths_of(detail::job_record& job,
                                                       const clock_reading& now);
    void forget_ended_jobs();

    // scheduler_vms.cpp
    detail::vm_record* find_vm(const vm_id& vm);
    detail::placed_run* find_run(detail::vm_record& vm, const task_ref& task, run_number run);
    void place_run(detail::vm_record& vm, detail::job_record& job, detail::step_state& step,
                   const task_ref& task, run_number run, const clock_reading& now);
    // What ended a run, and when that was learned.
    struct run_end {
        end_proof proof = end_proof::completion;
        base::time_point at{};
        lease_expiry expiry;
    };
    // Removes the run from the VM's record. Its task may be started again.
    void release(detail::vm_record& vm, const task_ref& task, const run_end& end);
    // Removes the run from the VM's record without a statement on its end.
    void forget_run(detail::vm_record& vm, const task_ref& task);
    bool has_further_run(const task_ref& task) const;
    // One of the task's runs is not on record any more.
    void remove_further_run(const detail::vm_record& vm, const task_ref& task,
                            detail::task_state& state);
    void drop_lost_runs(detail::vm_record& vm, const std::vector<task_ref>& tasks,
                        const std::string& reason, const run_end& end);
    // The VM lists a run that is not on record. If its end was concluded earlier, logs and measures
    // how close the next start of the task came to it. `ended`: empty while the run goes on.
    void check_restart(const detail::vm_record& vm, const task_ref& task, run_number run,
                       std::optional<completion_kind> ended, vm_time vm_clock,
                       const clock_reading& now);
    // Most unanswered starts, and most unanswered stops.
    std::size_t max_pending_commands() const;
    // No start command for the run is unanswered any more.
    void end_start(detail::vm_record& vm, detail::placed_run& run);
    void request_stop(detail::vm_record& vm, detail::placed_run& run, const std::string& reason);
    void abandon_start(detail::vm_record& vm, detail::placed_run& run, const std::string& reason);
    void handle_running(detail::vm_record& vm, const running_task& reported_run,
                        const clock_reading& now);
    void drop_missing_runs(detail::vm_record& vm, const vm_report& report,
                           base::time_point requested_at, const clock_reading& now);
    static void find_ended_runs(detail::vm_record& vm, const vm_report& report,
                                base::time_point requested_at);
    void adopt_run(detail::vm_record& vm, const running_task& found, const clock_reading& now);
    // Assigns runs that were found earlier to the job, which has become known.
    void assign_unknown_runs(const job_id& job);

    // scheduler_completions.cpp
    void handle_completion(detail::vm_record& vm, const task_completion& completion,
                           vm_time vm_clock, const clock_reading& now);
    // Quarantines the VM after failures of several jobs.
    void record_failure(detail::vm_record& vm, const job_id& job, const clock_reading& now);
    // Updates the job's progress.
    void apply_completion(detail::job_record& job, detail::step_state& step,
                          const task_completion& completion, const clock_reading& now);
    void stop_newer_members(detail::step_state& step, const task_completion& completion);
    // Applies completions that were received before the job, which has become known.
    void apply_held_completions(const job_id& job, const clock_reading& now);
    // The VM may forget the completions that it holds for the job once the job's `change` is saved.
    void release_held_completions(const vm_id& vm, const job_id& job, std::uint64_t change);

    // scheduler_crashes.cpp
    // The runs that explain best why the VM has crashed, if it has.
    std::vector<detail::placed_run*> explaining_runs(detail::vm_record& vm);
    base::milliseconds age_at_last_answer(const detail::vm_record& vm,
                                          const detail::placed_run& run) const;
    // Whether one run alone explains the crash.
    bool is_explained_alone(const detail::vm_record& vm,
                            const std::vector<detail::placed_run*>& explaining,
                            crash_explanation explanation) const;
    // The VM does not answer.
    void suspect_crash(detail::vm_record& vm);
    // The VM's incarnation has ended.
    void count_crash(detail::vm_record& vm);
    // Counts the VM as a loss of the runs beside those that explain its crash best.
    void count_companions(detail::vm_record& vm, const std::vector<detail::placed_run*>& explaining,
                          crash_explanation best);
    void clear_blameless_runs(detail::vm_record& vm);
    // The VM does not answer, and whether it has crashed is not known.
    void add_possible_losses(detail::vm_record& vm);
    // The age from which on a run explains no crash.
    base::milliseconds blameless_age(const task_ref& task);
    // The VM has not crashed, or was to leave.
    void withdraw_suspicion(detail::vm_record& vm);
    void withdraw_suspicion(const detail::vm_record& vm, detail::placed_run& run);
    detail::task_state* find_task(const task_ref& task, detail::job_record** job);
    void crashes_changed(detail::job_record& job, const task_ref& ref, detail::task_state& task);
    void give_up_crashing_tasks(const clock_reading& now);
    // A previous owner may have started a suspected task again without recording how that ended.
    void count_unseen_runs();
    // Notes the job's tasks whose lost runs a previous owner has recorded.
    void find_unresolved(detail::job_record& job, const clock_reading& now);
    // Finds out whether the VMs of lost runs have crashed.
    void resolve_lost_runs();
    // Empty while it is not known.
    std::optional<bool> has_crashed(
        const lost_run& run,
        const std::unordered_multimap<std::int64_t, detail::vm_record*>& by_address) const;
    void count_queue_losses(const detail::vm_record& vm,
                            const std::vector<detail::placed_run*>& explaining);
    bool is_isolated(const queue_name& queue, const clock_reading& now) const;
    // How long the task itself has been waiting, whichever others of its step have started.
    static base::milliseconds waited(const detail::open_step& work, const detail::task_state& task,
                                     const clock_reading& now);
    bool needs_probation(const detail::open_step& work, const detail::task_state& task,
                         const clock_reading& now) const;
    static bool is_saved(const detail::open_step& work, const detail::task_state& task);
    // Whether a task that needs a probation can begin one now.
    bool may_begin_probation(const detail::open_step& work, const detail::task_state& task,
                             const detail::placement_round& round, const clock_reading& now) const;
    background_crashes background(const clock_reading& now) const;
    static bool may_share_probation(const detail::task_state& task);
    static bool may_join(const detail::probation& current, const detail::task_state& task,
                         const clock_reading& now);
    bool may_join_probation(const detail::task_state& task, const clock_reading& now) const;
    // Whether the VM may start a run of the task now.
    bool accepts_start(const detail::vm_record& vm, const detail::open_step& work,
                       const detail::task_state& task, bool on_probation,
                       const clock_reading& now) const;
    bool runs_task_nearly_given_up(const detail::vm_record& vm) const;
    void begin_probation(detail::vm_record& vm, const task_ref& task, run_number run,
                         const clock_reading& now);
    void update_probations(const clock_reading& now);
    // What has ended the probation; null: it lasts.
    const char* outcome_of(std::size_t vm_number, detail::probation& current,
                           const clock_reading& now);
    void end_probation(std::size_t vm_number, const char* outcome);

    // step_ranking.cpp
    // The steps to consider in one decision, in the order of their ranks.
    std::vector<detail::open_step_entry*> next_open_steps(const clock_reading& now);
    detail::step_rank rank_of(const detail::open_step_entry& entry, const clock_reading& now);
    static detail::open_step make_open_step(const detail::open_step_entry& entry);
    // Whether the step has tasks that are neither done nor placed, and its job has not ended.
    static bool has_waiting_tasks(const detail::open_step_entry& entry);

    // scheduler_load.cpp
    // Counts the waiting tasks of a step that has become ready.
    void count_arrival(const detail::job_record& job, const detail::step_state& step);
    // Counts a start that the VM has confirmed, and the cores of a confirmed run that has ended.
    void count_start(const detail::vm_record& vm, const task_ref& task, const clock_reading& now);
    void count_release(const detail::vm_record& vm, const detail::placed_run& run);
    void add_waiting_work(load_sample& out, const clock_reading& now);

    // placement.cpp
    bool usable(const detail::vm_record& vm, const clock_reading& now) const;
    static bool may_run(const detail::vm_record& vm, const detail::open_step& work);
    resources customer_headroom(const customer_name& customer) const;
    void place_open_steps(const clock_reading& now, const query_budget& budget, decisions& out);
    bool place_tasks(detail::open_step& work, const detail::placement_round& round,
                     const clock_reading& now, decisions& out);
    // Whether all waiting tasks of the step wait for their turn on probation.
    bool waits_for_probation(const detail::open_step& work, detail::placement_round& round,
                             const clock_reading& now) const;
    bool place_gang(detail::open_step& work, const detail::placement_round& round,
                    const clock_reading& now, decisions& out);
    bool reserve_for_gang(const detail::open_step& work, detail::placement_round& round,
                          const clock_reading& now) const;
    void move_tasks_off_leaving_vms(detail::placement_round& round, const clock_reading& now,
                                    decisions& out);
    void move_tasks(detail::open_step& work, detail::placement_round& round,
                    const clock_reading& now, decisions& out);
    bool has_valid_ticket(const detail::open_step& work, const clock_reading& now) const;
    detail::query_lookahead& customer_lookahead(const customer_name& customer,
                                                detail::placement_round& round) const;
    bool consider(detail::open_step& work, detail::placement_round& round, const clock_reading& now,
                  decisions& out);
    // Returns why the step has to wait.
    wait_reason query_advisor(detail::open_step& work, detail::placement_round& round,
                              const clock_reading& now, decisions& out);
    bool has_room_twice(const detail::open_step_entry& entry, const clock_reading& now) const;
    static start_decision make_start_decision(const detail::vm_record& vm,
                                              const detail::job_record& job,
                                              const detail::step_state& step, const task_ref& task,
                                              run_number run);
    void start(detail::open_step& work, int index, detail::vm_record& vm, run_number run,
               const clock_reading& now, decisions& out);
    std::vector<detail::vm_record*> allowed_vms(const detail::open_step& work,
                                                const detail::placement_round& round,
                                                const clock_reading& now) const;

    // placement_queries.cpp
    static const std::vector<detail::vm_with_free_cores>& vms_by_free_cores(
        detail::placement_round& round, bool is_long);
    std::optional<placement_query> make_query(detail::open_step& work,
                                              detail::placement_round& round,
                                              const clock_reading& now);
    void drop_expectations(const step_ref& ref);

    // Stops gangs of which a start was not confirmed in time.
    void stop_late_gangs(const clock_reading& now);
    void retry_starts(decisions& out);
    void issue_stops(const clock_reading& now, decisions& out);
};

}  // namespace cranberrydock::fleet
