// The decider of one owned cell, under one epoch. Events come in with the time, effects go out; the
// same events give the same effects. A request's way through it is the list of stages in
// cell_machine.cpp, one file a stage.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/cell_messages.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::cell {

struct cell_settings {
    base::cell_id cell;
    base::epoch epoch;
    base::daemon_id owner;
    // How long a task goes on without its lease being renewed.
    base::milliseconds vm_lease{4'000};
    // How long a VM may hold a watch open while nothing ends.
    base::milliseconds watch_wait{1'000};
    // Beyond the wait, when a command's answer counts as lost.
    base::milliseconds command_timeout{1'500};
    // How far two clocks' speeds may differ.
    int drift_percent = 5;
    // How long an owner that can't show its ownership any more still renews running tasks' leases.
    base::milliseconds unproven_renewal{120'000};
    // How long a task that may not be repeated waits for its silent VM to tell what became of it.
    base::milliseconds unknown_wait{30'000};
    // How long a finished work's outcome is kept for retries.
    base::milliseconds retention{600'000};
    base::milliseconds contact_backoff{250};  // between attempts to reach a silent VM
    base::milliseconds retry_backoff{50};     // before the second attempt; doubles with each
    base::milliseconds longest_backoff{5'000};
    std::size_t decisions_per_event = 256;
};

// What is seen of a VM, for operators.
struct vm_view {
    base::vm_id vm;
    net::endpoint address;
    base::rack_name rack;
    std::string state;  // "usable", "draining", "unheard" or "silent"
    base::resources capacity;
    std::size_t attempts = 0;
};

// A promise that was broken, with what was seen.
struct broken_promise {
    std::string promise;  // stable name, e.g. "started_by_nobody"
    std::string evidence;
};

class cell_machine {
public:
    // `scheduler` is this cell's own, empty at the start. Both references outlive the machine.
    cell_machine(cell_settings settings, policy::scheduler& scheduler, base::metrics& metrics);
    ~cell_machine();
    cell_machine(const cell_machine&) = delete;
    cell_machine& operator=(const cell_machine&) = delete;

    std::vector<cell_effect> handle(const cell_event& event, base::time_point now);

    std::optional<base::job_view> view(const base::team_id& team, const base::job_id& job) const;
    // The team's jobs after `after` in the order of their ids, at most `limit`.
    std::vector<base::job_view> list(const base::team_id& team, const base::job_id& after,
                                     std::size_t limit) const;
    // Everything that the next owner must know and that is surely written down already: a journal
    // that begins with these records can do without all earlier rows.
    std::vector<work_record> snapshot() const;

    // Slots of VMs that were not heard from and may still run what earlier owners started; nothing
    // before the first member list.
    std::optional<base::slot_count> unheard_slots() const;

    std::vector<vm_view> vms() const;
    std::vector<broken_promise> broken_promises() const;
    std::vector<policy::team_load> loads() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::cell
