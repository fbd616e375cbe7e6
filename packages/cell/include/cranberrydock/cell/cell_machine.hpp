// The decider of one owned cell under one epoch. Events come in with the time and effects go out;
// the same events always give the same effects. A request passes through the stages that
// cell_machine.cpp lists, one file per stage.
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
    // A task runs this long without a renewal of its lease.
    base::milliseconds vm_lease{4'000};
    // A VM may hold a watch open this long while no task ends.
    base::milliseconds watch_wait{1'000};
    // Added to a command's wait; after this time its answer counts as lost.
    base::milliseconds command_timeout{1'500};
    // Maximum difference between the speeds of two clocks.
    int drift_percent = 5;
    // An owner that can no longer prove its ownership renews the leases of running tasks this long.
    base::milliseconds unproven_renewal{120'000};
    // After its lease has expired, a task that may not be repeated waits this long for its
    // unresponsive VM to report the outcome.
    base::milliseconds unknown_wait{30'000};
    // The outcome of finished work is kept this long for retries.
    base::milliseconds retention{600'000};
    base::milliseconds contact_backoff{250};  // between attempts to reach an unresponsive VM
    base::milliseconds retry_backoff{50};     // before the second attempt; doubles with each
    base::milliseconds max_backoff{5'000};
    std::size_t decisions_per_event = 256;
};

// The state of a VM, as operators see it.
struct vm_view {
    base::vm_id vm;
    net::endpoint address;
    base::rack_name rack;
    std::string state;  // "usable", "draining", "unheard" or "silent"
    base::resources capacity;
    std::size_t attempts = 0;
};

// A broken promise and its evidence.
struct broken_promise {
    std::string promise;  // stable name, e.g. "started_by_nobody"
    std::string evidence;
};

class cell_machine {
public:
    // `scheduler` belongs to this cell alone and must be empty. Both references must outlive the
    // machine.
    cell_machine(cell_settings settings, policy::scheduler& scheduler, base::metrics& metrics);
    ~cell_machine();
    cell_machine(const cell_machine&) = delete;
    cell_machine& operator=(const cell_machine&) = delete;

    // Processes one event and returns its effects in order.
    std::vector<cell_effect> handle(const cell_event& event, base::time_point now);

    // Returns nullopt if the team has no such job here.
    std::optional<base::job_view> view(const base::team_id& team, const base::job_id& job) const;
    // Returns the team's jobs after `after` in the order of their ids, at most `limit`.
    std::vector<base::job_view> list(const base::team_id& team, const base::job_id& after,
                                     std::size_t limit) const;
    // Returns everything that the next owner needs and that is certain to be in the journal. A
    // journal that begins with these records needs no earlier rows.
    std::vector<work_record> snapshot() const;

    // Slots of VMs without a report to this owner, which may still run tasks of previous owners.
    // nullopt before the first member list.
    std::optional<base::slot_count> unreported_slots() const;

    std::vector<vm_view> vms() const;
    std::vector<broken_promise> broken_promises() const;
    std::vector<policy::team_load> loads() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::cell
