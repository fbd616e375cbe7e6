// The state that the stages of one cell's decider share: the work, the VMs, the pending commands
// and records, and the outgoing effects. Owned by cell_machine and used by one thread.
#pragma once

#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/cell/promise_monitor.hpp>
#include <cranberrydock/policy/retry_budget.hpp>

#include "timer_queue.hpp"
#include "vm_table.hpp"
#include "work_table.hpp"

#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cranberrydock::cell {

// A command to a VM whose answer has not arrived yet.
struct pending_command {
    enum class kind { contact, start, stop };

    kind type = kind::contact;
    base::vm_id vm;
    base::attempt_id attempt;  // of start and stop
    base::time_point sent{};
};

// A journal record that is not yet confirmed.
struct pending_record {
    enum class kind { accepted, intent, not_run, outcome };

    kind type = kind::accepted;
    base::job_id job;
    base::task_id task;        // of intent and not_run
    base::attempt_id attempt;  // of intent and not_run
};

class cell_context {
public:
    cell_context(cell_settings settings, policy::scheduler& scheduler, base::metrics& metrics);

    // Sends a command; its answer arrives under the returned id.
    command_id command(const vm_state& vm, platform::vm_command_body body,
                       base::milliseconds timeout, pending_command pending);

    // Appends a record to the journal.
    void record(work_record content, pending_record pending);

    void answer(reply_id caller, const base::work_outcome& outcome,
                const std::vector<base::trace_step>& trace);

    // Adds a step to the work's trace, timed from its acceptance here.
    void trace(work_state& work, const std::string& stage, const std::string& location,
               const std::string& note, base::duration elapsed = base::duration{0}) const;

    // Passes the VM's state and capacity to the scheduler.
    void publish(const vm_state& vm);

    // Passes each team's allowance in this cell to the scheduler. Every slot of a VM without a
    // report counts as used by every team.
    void publish_teams();
    // Does the same if the slots of VMs without a report have changed since the last call.
    void publish_teams_if_changed();

    // Slots of VMs without a report to this owner, which may run tasks of previous owners.
    base::slot_count unreported_slots() const;

    void promise_broken(const std::string& promise, const std::string& evidence);

    // When a lease based on the VM's last report is certain to have expired.
    base::time_point lease_expiry_after(const vm_state& vm) const;
    // The same for leases that previous owners granted, on a VM that has not accepted this owner's
    // epoch.
    base::time_point previous_owners_lease_expiry() const;
    // The end of a lease that is based on the VM's last report, on the VM's clock.
    platform::vm_time lease_end(const vm_state& vm) const;

    // Whether starts may be sent: the ownership is proven, and the cell is neither drained nor
    // taken by another owner.
    bool may_start() const { return now < evidence_until && !draining && !replaced; }
    bool may_renew() const { return now < evidence_until + settings.unproven_renewal && !replaced; }

    // The team's remaining retries.
    policy::retry_budget& budget_of(const base::team_id& team);

    int max_attempts(const base::queue_name& queue) const;
    base::attempt_id next_attempt_id();

    const cell_settings settings;
    policy::scheduler& scheduler;
    base::metrics& metrics;

    base::time_point now{};      // of the current event
    base::time_point started{};  // of the first event
    base::time_point evidence_until{};
    bool member_list_received = false;
    bool draining = false;
    bool replaced = false;  // a VM has seen a higher epoch

    work_table table;
    vm_table vms;
    timer_queue timers;
    std::vector<queue_limits> limits;
    std::vector<policy::team_settings> teams;
    std::unordered_map<command_id, pending_command> commands;
    std::unordered_map<record_id, pending_record> records;
    // Intents of previous owners on VMs that are not listed yet.
    std::vector<attempt> recovered_attempts;
    // All attempts of previous owners that this owner has on record. Seeing one again breaks no
    // promise.
    std::unordered_set<base::attempt_id> inherited_attempts;
    promise_monitor promises;
    std::vector<broken_promise> broken;
    std::vector<cell_effect> out;

    std::mt19937_64 random;  // for pauses; seeded by the cell and the epoch

    // The number of this owner's next attempt.
    std::int64_t next_attempt = 1;

private:
    std::unordered_map<base::team_id, policy::retry_budget> budgets_;
    base::slot_count published_unreported_;
    std::int64_t next_command_ = 1;
    std::int64_t next_record_ = 1;
};

// The owner that made an attempt, as its name states it.
struct attempt_origin {
    base::epoch epoch;
    std::int64_t number = 0;
};

base::attempt_id name_attempt(const base::cell_id& cell, attempt_origin origin);

// Returns nullopt when no owner of this cell makes such names.
std::optional<attempt_origin> origin_of(const base::attempt_id& attempt, const base::cell_id& cell);

}  // namespace cranberrydock::cell
