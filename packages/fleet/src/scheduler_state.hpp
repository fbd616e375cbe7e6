// What the scheduler remembers, shared by its stages: jobs (scheduler_jobs.cpp), VMs
// (scheduler_vms.cpp), ends of tasks (scheduler_ends.cpp), the order of work (work_order.cpp),
// placing (placing.cpp) and placement questions (advice.cpp).
#pragma once

#include <cranberrydock/fleet/scheduler.hpp>

#include "queue_history.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace cranberrydock::fleet::detail {

using base::time_point;

enum class run_phase {
    starting,  // ordered; the VM has not said that it runs
    running,
    stopping,  // its end is wanted and not listed yet
};

// A run that may take capacity of a VM.
struct placed_run {
    task_ref task;
    run_number run;
    resources need;
    customer_name customer;
    bool unknown = false;  // of a job that this owner does not know
    run_phase phase = run_phase::starting;
    time_point ordered{};
    std::optional<time_point> confirmed;  // when the VM was first known to run it
    int start_orders = 1;
    bool start_open = true;  // an order to start is under way
    bool stop_open = false;  // an order to stop is under way
    // When an order to stop was answered: a report asked for later that does not show the run
    // proves that it never will run.
    std::optional<time_point> stop_answered;
    std::optional<time_point> stop_again;  // not before this
    std::string stop_reason;
    int percent = 0;
    time_point progressed{};  // when `percent` or the checkpoint last changed
    checkpoint saved;
};

struct unsaved_end {
    end_number number;
    job_id job;
    std::uint64_t change = 0;     // of the job; the end may be forgotten once this is saved
    bool of_unknown_job = false;  // it must not be forgotten yet
};

// An end whose job is not known: it may still be read from the store.
struct held_end {
    vm_id vm;
    task_end end;
    time_point heard;
};

struct vm_record {
    vm_facts facts;
    // Its place in tables of VMs; no other VM ever has the same.
    std::size_t number = 0;
    bool reported = false;  // under this owner's fence: what it runs is known
    bool ended = false;     // its process has, and it has not reported since
    bool reachable = true;
    std::map<task_ref, placed_run> runs;
    resources used;  // the sum over `runs`
    // What steps whose questions name this VM are expected to take of it, if it is granted; those
    // with short questions and those with long ones.
    resources asked_for_by_short;
    resources asked_for_by_long;
    end_number last_end;
    std::deque<unsaved_end> unsaved;
    time_point avoid_until{};  // quarantine, or the VM had no room though there should have been
    // Jobs whose tasks failed here since the last success.
    std::set<job_id> failed_jobs;

    resources free() const { return facts.capacity - used; }
    // For steps that have not asked yet: two that count on the same room would find it taken. Short
    // questions are urgent work's, which does not wait for what long ones may need later.
    resources free_to_name(bool is_long) const {
        const resources left = facts.capacity - used - asked_for_by_short;
        return is_long ? left - asked_for_by_long : left;
    }
    resources& asked_for(bool is_long) { return is_long ? asked_for_by_long : asked_for_by_short; }
};

constexpr std::size_t least_named = 6;  // VMs, in a question to the adviser

inline milliseconds cost_of(const advice_cost& cost, std::size_t vms) {
    return cost.per_question +
           std::chrono::duration_cast<milliseconds>(cost.per_vm * static_cast<std::int64_t>(vms));
}

// What an open question expects of one of the VMs that it names.
struct expectation {
    std::size_t vm = 0;  // its number
    resources room;
    bool is_long = false;
};

struct grant {
    placement_ticket ticket;
    time_point until;
    boot_time boot;
};

struct task_state {
    bool done = false;
    std::vector<run_number> failed_runs;
    run_number last_run;
    vm_record* vm = nullptr;  // where its run is placed
    checkpoint saved;
};

struct step_state {
    const step_spec* spec = nullptr;
    std::vector<task_state> tasks;
    int done_count = 0;
    // By the numbers of VMs.
    std::map<std::size_t, grant> grants;
    std::set<std::size_t> denied;  // asked about and not granted
    bool question_open = false;
    time_point last_question{};
    bool open = false;  // among the scheduler's open steps

    bool finished() const { return done_count == static_cast<int>(tasks.size()); }
};

struct job_record {
    job_spec spec;
    const queue_config* queue =
        nullptr;  // of the configuration in force; null: it has been removed
    job_state state = job_state::queued;
    bool inherited = false;
    bool over_share = false;  // beyond the jobs a second that its customer is entitled to
    bool started = false;     // a task of it has started
    unix_time ended;
    std::map<int, std::vector<step_state>> occurrences;  // those that are due
    int next_occurrence = 0;                             // the first that is not due yet
    std::uint64_t change = 0;                            // raised by what has to be saved
    std::uint64_t taken = 0;                             // of the last take_unsaved()
    std::uint64_t saved = 0;
    int placed_runs = 0;  // on the books of all VMs
    // Expected time from each step's start to the job's end, as it was reckoned at `chains_at`.
    std::vector<milliseconds> chains;
    time_point chains_at{};

    const queue_terms& terms() const { return queue == nullptr ? spec.terms : queue->terms; }
};

// A step that may have tasks to start. Its job lives as long as the step is open.
struct open_place {
    step_ref where;
    job_record* job = nullptr;
    step_state* step = nullptr;
};

// The same, with what a decision has found out about it.
struct open_step {
    const step_ref* where = nullptr;
    job_record* job = nullptr;
    step_state* step = nullptr;
    const queue_terms* terms = nullptr;
    const advice_cost* advice = nullptr;  // null: the step may run anywhere
    // The order of work: lower goes first.
    int tier = 0;
    int urgency = 0;
    time_point start_by{};
};

// What one decision knows of the VMs, found once for all work.
struct placing_round {
    std::vector<vm_record*> usable;
    std::vector<bool> reserved;  // by the numbers of VMs: kept for gangs that wait
    adviser_room advisers;       // questions that may still be asked
    std::int64_t ahead = 0;      // millicores that questions may still be asked for
    // The same for each customer with a limit, as far as it was met.
    std::map<customer_name, resources> customers_ahead;

    bool is_reserved(const vm_record& vm) const {
        return vm.number < reserved.size() && reserved[vm.number];
    }
};

// Jobs a second that a customer is entitled to, as a bucket that holds one second of them.
struct entitlement {
    double tokens = 0;
    time_point filled{};
};

}  // namespace cranberrydock::fleet::detail

namespace cranberrydock::fleet {

struct scheduler::state {
    state(fence owner_fence, const scheduler_settings& limits, base::metrics& counters)
        : owner(owner_fence), settings(limits), metrics(&counters) {}

    fence owner;
    scheduler_settings settings;
    base::metrics* metrics;
    std::shared_ptr<const fleet_configuration> configuration =
        std::make_shared<fleet_configuration>();
    std::unordered_map<queue_name, const queue_config*> queues;  // of `configuration`
    milliseconds shortest_question{0};                           // of its queues
    std::unordered_map<vm_id, std::unique_ptr<detail::vm_record>> vms;
    std::vector<detail::vm_record*> vm_numbers;  // null for those that are gone
    std::unordered_map<job_id, std::unique_ptr<detail::job_record>> jobs;
    // Steps that may have tasks to start, each once; what has none is dropped by the next decision.
    std::vector<detail::open_place> open;
    std::size_t next_sample = 0;  // of the work that a decision leaves out
    std::map<step_ref, std::vector<detail::expectation>> expectations;  // of open questions
    std::set<step_ref> forming;                     // gangs whose members are being started
    std::set<job_id> timed;                         // jobs with occurrences that are not due yet
    std::set<std::pair<vm_id, task_ref>> stopping;  // runs whose end is wanted
    std::set<std::pair<task_ref, vm_id>> unknown_runs;          // of jobs that are not known
    std::map<job_id, std::vector<detail::held_end>> held_ends;  // of jobs that are not known
    std::set<std::pair<vm_id, task_ref>> start_again;  // whose order to start was not answered
    std::set<job_id> dirty;
    // Jobs that have ended under this owner. Their rows may still be read, from a reading of the
    // store that is older than their end.
    std::unordered_set<job_id> ended;
    std::set<job_id> ending;  // final and saved; forgotten when no VM runs anything of them
    std::unordered_map<customer_name, resources> in_use;
    // At most, by runs of jobs that are not known; they may be any customer's.
    resources unknown_use;
    // At most, by what an earlier owner started on VMs that have not reported yet.
    resources unreported_use;
    std::unordered_map<customer_name, detail::entitlement> entitlements;
    std::map<queue_name, detail::queue_history> history;
    bool inherited_known = false;
    bool starts_held = false;

    // scheduler_jobs.cpp
    void note_change(detail::job_record& job);
    void open_steps(detail::job_record& job, int occurrence);
    void note_open(const step_ref& where, detail::job_record& job, detail::step_state& step);
    void add_occurrence(detail::job_record& job, int occurrence);
    void open_next(detail::job_record& job);
    void open_found(const task_ref& task);
    void open_due(const moment& now);
    detail::step_state* find_step(const task_ref& task, detail::job_record** job);
    void task_done(detail::job_record& job, const task_ref& task, detail::step_state& step,
                   const moment& now);
    void task_failed(detail::job_record& job, const task_ref& task, detail::step_state& step,
                     run_number run, const moment& now);
    void finish_job(detail::job_record& job, job_state end, const moment& now);
    void stop_runs_of(detail::job_record& job, const std::string& reason);
    void stop_step(const step_ref& where, detail::step_state& step, const std::string& reason);
    const queue_config* find_queue(const queue_name& name) const;
    // Whether the shortest questions should not have to wait for such ones.
    bool asks_long(const advice_cost& cost) const;
    const std::vector<milliseconds>& chains_of(detail::job_record& job, const moment& now);
    void forget_ended();

    // scheduler_vms.cpp
    detail::vm_record* find_vm(const vm_id& vm);
    detail::placed_run* find_run(detail::vm_record& vm, const task_ref& task, run_number run);
    void place(detail::vm_record& vm, detail::job_record& job, detail::step_state& step,
               const task_ref& task, run_number run, const moment& now);
    // Takes the run off the VM's books; its task may be started again.
    void release(detail::vm_record& vm, const task_ref& task);
    void lose_runs(detail::vm_record& vm, const std::vector<task_ref>& tasks,
                   const std::string& reason);
    void want_stop(detail::vm_record& vm, detail::placed_run& run, const std::string& reason);
    void give_up_start(detail::vm_record& vm, detail::placed_run& run, const std::string& reason);
    void handle_running(detail::vm_record& vm, const running_task& task, const moment& now);
    void drop_missing(detail::vm_record& vm, const vm_report& report, base::time_point asked,
                      const moment& now);
    void adopt(detail::vm_record& vm, const running_task& task, const moment& now);
    // The job of such runs has become known.
    void claim_unknown_runs(const job_id& job);

    // scheduler_ends.cpp
    void handle_end(detail::vm_record& vm, const task_end& end, const moment& now);
    // A VM with failures of several jobs gets no work for a while.
    void note_failure(detail::vm_record& vm, const job_id& job, const moment& now);
    // What an end means for its job.
    void count_end(detail::job_record& job, detail::step_state& step, const task_end& end,
                   const moment& now);
    // The job of such ends has become known.
    void count_held_ends(const job_id& job, const moment& now);
    // Those entries of the VM's that wait for the job: its `change` has to be saved first.
    void release_held(const vm_id& vm, const job_id& job, std::uint64_t change);

    // work_order.cpp
    std::vector<detail::open_step> work_in_order(const moment& now);
    detail::open_step judge(const detail::open_place& place, const moment& now);
    void drop_closed_steps();

    // placing.cpp
    bool usable(const detail::vm_record& vm, const moment& now) const;
    static bool may_run(const detail::vm_record& vm, const detail::open_step& work);
    resources customer_room(const customer_name& customer) const;
    void place_work(const moment& now, const adviser_room& advisers, decisions& out);
    bool place_tasks(detail::open_step& work, const detail::placing_round& round, const moment& now,
                     decisions& out);
    bool place_gang(detail::open_step& work, const detail::placing_round& round, const moment& now,
                    decisions& out);
    void move_off_leaving(detail::placing_round& round, const moment& now, decisions& out);
    void move_tasks(detail::open_step& work, detail::placing_round& round, const moment& now,
                    decisions& out);
    bool has_ticket(const detail::open_step& work, const moment& now) const;
    bool waits_for_limit(const detail::open_step& work, detail::placing_round& round) const;
    void ask_for(detail::open_step& work, detail::placing_round& round, const moment& now,
                 decisions& out);
    static start_decision start_order_of(const detail::vm_record& vm, const detail::job_record& job,
                                         const detail::step_state& step, const task_ref& task,
                                         run_number run);
    void start(detail::open_step& work, int index, detail::vm_record& vm, run_number run,
               const moment& now, decisions& out);
    std::vector<detail::vm_record*> allowed_vms(const detail::open_step& work,
                                                const detail::placing_round& round,
                                                const moment& now) const;

    // advice.cpp
    std::optional<advice_question> question_for(detail::open_step& work,
                                                const detail::placing_round& round,
                                                const moment& now);
    void forget_expectations(const step_ref& where);

    // Stops the gangs that have taken too long to form.
    void check_forming(const moment& now);
    void order_starts_again(decisions& out);
    void order_stops(const moment& now, decisions& out);
};

}  // namespace cranberrydock::fleet
