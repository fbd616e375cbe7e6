// Simulates one cell: its successive owners, its VMs with their checker, the journal in a model of
// the table service, and callers that send their work again when an owner is lost. Faults are added
// before the run. The limit of the team is checked at each step.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/cell/journal_writer.hpp>

#include "run_checker.hpp"
#include "table_model.hpp"
#include "vm_agent.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::standins {

enum class cell_fault_kind {
    owner_killed,
    owner_suspended,  // is resumed later and goes on as if it still owned the cell
    owner_drained,    // hands the cell over gracefully
    vm_unresponsive,  // runs its tasks, sends no answers
    vm_suspended,     // suspended with its tasks
    vm_replaced,      // by a new incarnation at the same address
    vm_fails,         // each task that it starts fails
    commands_lossy,   // commands or their answers get lost, some commands arrive late
    store_down,       // each read and commit fails
    store_lossy,      // answers to commits get lost, whether applied or not
    limit_lowered,    // the team's upper limit falls to a quarter
};

struct cell_fault {
    cell_fault_kind kind = cell_fault_kind::owner_killed;
    std::size_t vm = 0;
    base::milliseconds start_time{0};
    base::milliseconds duration{0};
};

std::ostream& operator<<(std::ostream& out, const cell_fault& injected);

struct caller_plan {
    base::milliseconds start_time{0};
    base::milliseconds task_time{0};
    bool repeatable = true;
    bool job = false;        // durable, two tasks
    bool gang = false;       // only with job: its tasks start together
    bool cancelled = false;  // soon after it is sent
};

std::ostream& operator<<(std::ostream& out, const caller_plan& planned);

class cell_simulation {
public:
    cell_simulation(std::uint64_t seed, std::size_t vms);
    ~cell_simulation();
    cell_simulation(const cell_simulation&) = delete;
    cell_simulation& operator=(const cell_simulation&) = delete;

    void add(const cell_fault& fault);
    void add(const caller_plan& plan);

    // Runs until `end` after the beginning of the simulation.
    void run_until(base::milliseconds end);

    // The violations found so far, with the checker's evidence and the promises that the owners
    // report as broken; empty if there are none.
    std::string violations() const;
    // The callers without a final outcome, with the state of their work at the current owner; empty
    // when all have one.
    std::string describe_unanswered_callers() const;
    // Callers with a final outcome, and those whose outcome is unknown.
    std::size_t answered_count() const { return answered_; }
    std::size_t unknown_outcome_count() const { return unknown_; }
    // Owners that the cell has had so far.
    std::size_t owner_count() const { return owners_.size(); }

private:
    struct owner_state;
    struct caller_state;

    using action = std::function<void()>;
    struct scheduled {
        base::time_point at;
        std::uint64_t order = 0;
        action run;
        friend bool operator<(const scheduled& a, const scheduled& b) {
            return a.at != b.at ? b.at < a.at : b.order < a.order;
        }
    };

    void after(base::duration delay, action run);
    base::duration random_delay(base::duration longest);
    bool chance(int permille);

    // Owners.
    void start_owner();
    void read_journal(owner_state& owner);
    void tick(owner_state& owner);
    void deliver(owner_state& owner, const cell::cell_event& event);
    void run_or_defer(owner_state& owner, action run);
    void apply(owner_state& owner, const std::vector<cell::cell_effect>& effects);
    void apply(owner_state& owner, const cell::command_vm& effect);
    void apply(owner_state& owner, const cell::append_record& effect);
    void apply(owner_state& owner, const cell::reply& effect);
    void apply(owner_state& owner, const cell::superseded& effect);
    void apply(owner_state& owner, const cell::drained& effect);
    void write(owner_state& owner, const std::vector<cell::journal_effect>& effects);
    void deliver_command(std::size_t vm, action command);
    void commit(owner_state& owner, const platform::transaction& writes);
    void end_ownership(owner_state& owner);
    void start_successor_after(base::duration delay);
    cell::rules_changed rules() const;
    std::vector<platform::member> members() const;

    // Callers.
    void send(caller_state& caller);
    void take_outcome(caller_state& caller, const base::work_outcome& outcome);
    void check_answers(const caller_state& caller, const base::work_answered& outcome);

    void begin(const cell_fault& fault);
    void end(const cell_fault& fault);
    void check_limit();
    void add_violation(const std::string& description);

    std::mt19937_64 random_;
    base::time_point now_{};
    std::uint64_t next_sequence_number_ = 0;
    std::priority_queue<scheduled> event_queue_;
    run_checker checker_;
    std::vector<std::unique_ptr<vm_agent>> vms_;
    std::vector<bool> unresponsive_;
    std::vector<bool> suspended_;
    std::vector<std::vector<action>> deferred_commands_;  // by VM, while it is suspended
    table_model table_;
    bool store_down_ = false;
    bool store_lossy_ = false;
    bool commands_lossy_ = false;
    std::int64_t limit_ = 0;  // slots
    // The limit before it was lowered; 0 once the team runs no more than the lowered limit, at the
    // earliest limit_delay after the change.
    std::int64_t limit_before_lowering_ = 0;
    base::time_point lowered_at_{};
    base::metrics metrics_;
    // Oldest first; only the last one may own the cell.
    std::vector<std::unique_ptr<owner_state>> owners_;
    std::vector<std::unique_ptr<caller_state>> callers_;
    std::set<base::job_id> started_jobs_;
    std::size_t answered_ = 0;
    std::size_t unknown_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace cranberrydock::standins
