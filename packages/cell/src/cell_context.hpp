// What the stages of one cell's decider share: the state of the work, of the VMs and of what is
// under way, and the effects that go out. Owned by cell_machine; one thread uses it.
#pragma once

#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/cell/promise_watch.hpp>
#include <cranberrydock/policy/retry_budget.hpp>

#include "agenda.hpp"
#include "vm_ledger.hpp"
#include "work_book.hpp"

#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cranberrydock::cell {

// A command on its way to a VM, or its answer on its way back.
struct pending_command {
    enum class kind { contact, start, stop };

    kind what = kind::contact;
    base::vm_id vm;
    base::attempt_id attempt;  // of start and stop
    base::time_point sent{};
};

// A journal record on its way to the store.
struct pending_record {
    enum class kind { accepted, intent, not_run, outcome };

    kind what = kind::accepted;
    base::job_id job;
    base::task_id task;        // of intent and not_run
    base::attempt_id attempt;  // of intent and not_run
};

class cell_context {
public:
    cell_context(cell_settings settings, policy::scheduler& scheduler, base::metrics& metrics);

    // Sends a command; its answer comes back under the id.
    command_id command(const vm_state& vm, platform::vm_command_body body,
                       base::milliseconds timeout, pending_command pending);

    void record(work_record what, pending_record pending);

    void answer(reply_id to, const base::work_outcome& outcome,
                const std::vector<base::trace_step>& trace);

    // Adds a step to the work's way, timed from its acceptance here.
    void trace(work_state& work, const std::string& stage, const std::string& where,
               const std::string& note, base::duration took = base::duration{0}) const;

    // Tells the scheduler how it may use the VM.
    void publish(const vm_state& vm);

    // Tells the scheduler what each team may use here, with the slots of VMs that were not heard
    // from counted as full of each team's tasks.
    void publish_teams();
    // The same, unless no VM was heard and no wait has ended since.
    void publish_teams_if_changed();

    // Slots of VMs that may run what earlier owners started and were not heard from.
    base::slot_count unheard_slots() const;

    void promise_broken(const std::string& promise, const std::string& evidence);

    // When a lease that is stated on the VM's last report has surely lapsed.
    base::time_point lapse_after(const vm_state& vm) const;
    // The same for leases of earlier owners on a VM that has not taken this owner's epoch.
    base::time_point earlier_owners_lapse() const;
    platform::vm_time lease_end(const vm_state& vm) const;

    bool may_start() const { return now < evidence_until && !draining && !replaced; }
    bool may_renew() const { return now < evidence_until + settings.unproven_renewal && !replaced; }

    // The retries that the team may still make.
    policy::retry_budget& budget_of(const base::team_id& team);

    int max_attempts(const base::queue_name& queue) const;
    base::attempt_id next_attempt_id();

    const cell_settings settings;
    policy::scheduler& scheduler;
    base::metrics& metrics;

    base::time_point now{};      // of the event in hand
    base::time_point started{};  // of the first event
    base::time_point evidence_until{};
    bool vms_known = false;  // a member list was read
    bool draining = false;
    bool replaced = false;  // a VM has seen a higher epoch

    work_book book;
    vm_ledger vms;
    agenda due;
    std::vector<queue_limits> limits;
    std::vector<policy::team_rules> teams;
    std::unordered_map<command_id, pending_command> commands;
    std::unordered_map<record_id, pending_record> records;
    // Intents of earlier owners, for VMs that are listed later than they were read.
    std::vector<attempt> recovered_attempts;
    // Earlier owners' attempts that were ever known here: to see one again breaks no promise.
    std::unordered_set<base::attempt_id> earlier_attempts;
    promise_watch watch;
    std::vector<broken_promise> broken;
    std::vector<cell_effect> out;

    std::mt19937_64 random;  // of pauses; seeded by the cell and the epoch

    // Attempts of this owner have numbers below this one.
    std::int64_t next_attempt = 1;

private:
    std::unordered_map<base::team_id, policy::retry_budget> budgets_;
    base::slot_count published_unheard_;
    std::int64_t next_command_ = 1;
    std::int64_t next_record_ = 1;
};

// An attempt's name says which owner made it.
struct attempt_origin {
    base::epoch epoch;
    std::int64_t number = 0;
};

base::attempt_id name_attempt(const base::cell_id& cell, attempt_origin origin);

// Nothing when no owner of this cell makes such names.
std::optional<attempt_origin> origin_of(const base::attempt_id& attempt, const base::cell_id& cell);

}  // namespace cranberrydock::cell
