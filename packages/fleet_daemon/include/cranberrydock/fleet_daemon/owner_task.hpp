// The owner's task: loads the fleet's state, keeps a session with every VM, runs the scheduler,
// carries out its decisions and makes the jobs' progress durable. It is created when this daemon
// becomes the owner and destroyed when the ownership ends.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/ownership.hpp>
#include <cranberrydock/fleet/platform_rows.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/scheduler.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet_daemon/advisor_pool.hpp>
#include <cranberrydock/fleet_daemon/command_permission.hpp>
#include <cranberrydock/fleet_daemon/job_layout.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>
#include <cranberrydock/fleet_daemon/vm_session.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cranberrydock::fleet_daemon {

// Member entries that expired while the store was unavailable reappear within two seconds of its
// return if the VM is running. The remaining time is for the change feed to deliver them.
constexpr base::milliseconds member_return_time{2'500};

struct owner_settings {
    fleet::scheduler_settings scheduler;
    session_settings session;
    fleet::store_limits limits;
    // The longest time for which a previous owner may continue to issue commands to VMs that this
    // owner can't reach.
    base::milliseconds previous_owner_validity{0};
    // Whether no owner before the previous one issues commands any more.
    bool earlier_owners_ended = false;
    // The VMs that the previous owner had on record. Until all of them are listed, tasks that it
    // may have started are not started again before its leases have expired.
    std::size_t expected_vms = 0;
    std::optional<fleet::vm_set_digest> expected_vm_set;
    // Of the rows that list these VMs. Without it, or if they can't be read, all VMs count as
    // missing where the number or the digest differs.
    std::optional<std::uint64_t> expected_vm_record;
    // Member entries may be missing before this time, because the store was unavailable until
    // recently.
    base::time_point members_complete_from{};
    // No task is started while the last read of the job table is older than this: jobs may have
    // been cancelled since.
    base::milliseconds max_job_feed_age{2'000};
    // A cancelled job starts no tasks once this time has passed.
    base::milliseconds cancel_deadline{3'000};
    // Whether the entries refuse new jobs of queues that are not expected to serve them in time.
    bool refuse_overloaded = false;
    // Callers can query an ended job for this long.
    base::milliseconds ended_job_retention{150'000};
};

// The owner's task's view of this daemon's ownership.
class ownership_view : public command_permission {
public:
    // Whether the store has answered a recent call of this daemon.
    virtual bool store_answers() = 0;
    // When the last renewal of the ownership that the store has confirmed was sent.
    virtual base::time_point last_renewal_sent() = 0;
    // The figures of the owner's row have changed and are needed there soon.
    virtual void renew_soon() = 0;
    // The task has found a newer owner; `where` says where, for the log. The task is destroyed
    // after the call, not within it.
    virtual void on_superseded(const std::string& where) = 0;
};

class owner_task {
public:
    owner_task(net::event_loop& loop, fleet::row_store& store, fleet::vm_control& vms,
               const fleet::platform_rows& rows, const job_layout& layout, advisor_pool& advisors,
               ownership_view& rights, fleet::fencing_token owner, const owner_settings& settings,
               base::metrics& metrics);
    ~owner_task();
    owner_task(const owner_task&) = delete;
    owner_task& operator=(const owner_task&) = delete;

    // Puts the configuration into force.
    void configure(const std::shared_ptr<const fleet::fleet_configuration>& configuration);

    // The previous owner's process has ended, so it issues no more commands.
    void on_previous_owner_ended();

    // A job's row has become durable. Ignored if it is no newer than the last read of the table.
    void job_written(const fleet::job_id& job, const std::string& row,
                     fleet::store_version version);

    // Whether the job is on record as stored, ended or not.
    bool has_loaded(const fleet::job_id& job) const;

    // Calls `done` with the job's state, once that state is durable. A caller that waits too long
    // for a completion to become durable receives the state before it.
    void job_status(const fleet::job_id& job, const status_callback& done);

    // Updates the fields of the owner's row that this owner has figures for, and leaves the others
    // unchanged, except that the queues that a previous owner could not serve are removed. `number`
    // identifies the new count of the waiting jobs.
    void describe(fleet::owner_record& record, std::int64_t number) const;

    // The rows of the VMs on record, to be written together with the described row; empty if there
    // are none to write. Valid until the next call.
    const std::vector<std::string>& vm_record_parts() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::fleet_daemon
