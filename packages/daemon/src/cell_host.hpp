// Runs the cells that this daemon owns on a thread and event loop of their own, so that neither a
// slow caller nor a slow store delays a decision. The rest of the daemon posts messages to this
// loop, and the results are posted back to the daemon's loop.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/allowance_manager.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace cranberrydock::daemon {

// What the owner of a cell needs to start it.
struct cell_start {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_condition guard;  // every journal write is conditional on it
};

// Receives the results of the host's cells, on the daemon's loop.
class cell_host_listener {
public:
    virtual ~cell_host_listener() = default;
    virtual void on_reply(cell::reply_id request_id, const base::work_outcome& outcome,
                          const std::vector<base::trace_step>& trace) = 0;
    virtual void on_drained(const base::cell_id& cell) = 0;
    // A VM has seen a higher epoch of the cell, so that another daemon has replaced this owner.
    virtual void on_superseded(const base::cell_id& cell, base::epoch seen_epoch) = 0;
    virtual void on_loads(const base::cell_id& cell,
                          const std::vector<policy::team_load>& loads) = 0;
};

// Commands to worker VMs and to plain HTTP runners alike.
class upstream_client : public platform::vm_client {
public:
    // The member list, which shows the members that are runners.
    virtual void set_members(const std::vector<platform::member>& members) = 0;
};

// Creates the I/O clients of the host's thread, for that thread's loop.
class cell_io_factory {
public:
    virtual ~cell_io_factory() = default;
    virtual std::unique_ptr<upstream_client> make_upstream_client(net::event_loop& loop) = 0;
    virtual std::unique_ptr<platform::table_service> make_table_service(net::event_loop& loop) = 0;
};

// The answer to query_job(). `owned` is false when the host does not own the cell, or has not read
// its journal yet.
struct job_query_result {
    bool owned = false;
    std::optional<base::job_view> view;  // nothing when there is no such job
};

using job_query_callback = std::function<void(job_query_result)>;
using job_list_callback = std::function<void(std::vector<base::job_view>)>;
using host_vms_callback = std::function<void(std::vector<cell::vm_view>)>;
using host_promises_callback = std::function<void(std::vector<cell::broken_promise>)>;

// The handle of the host's thread, for use on the daemon's loop. All functions post a message and
// return at once.
class cell_host {
public:
    // Starts the thread. Calls `listener` and all callbacks on `daemon_loop`.
    cell_host(const config::daemon_settings& settings, const base::daemon_id& self,
              net::event_loop& daemon_loop, cell_io_factory& io, base::metrics& metrics,
              cell_host_listener& listener);
    // Ends the thread. Work that is still open is left to the next owners of the cells.
    ~cell_host();
    cell_host(const cell_host&) = delete;
    cell_host& operator=(const cell_host&) = delete;

    // Starts the cell: reads its journal, then takes decisions for it.
    void add_cell(const cell_start& start);
    // Drops the cell at once. Its outstanding replies never come.
    void remove_cell(const base::cell_id& cell);
    // Drains the cell; on_drained() follows when nothing of it is under way here any more.
    void drain(const base::cell_id& cell);
    // Sets the point in time until which the daemon can prove that it owns the cell.
    void extend_evidence(const base::cell_id& cell, base::time_point until);
    void set_rules(const base::cell_id& cell, cell::rules_changed rules);
    void set_limits(const base::cell_id& cell, std::vector<cell::team_limit> limits);
    void set_vms(const base::cell_id& cell, std::vector<platform::member> vms);
    // Starts the draining of the VM in every cell, or ends it when `drain` is false.
    void drain_vm(const base::vm_id& vm, bool drain);

    // Returns false when the host's mailbox is full; the work is then not submitted. Otherwise the
    // reply comes by on_reply() with `reply_to`, unless the cell is removed before.
    bool submit(const base::cell_id& cell, const base::work& spec, cell::reply_id reply_to);
    // Reads the state of a job; with `cancel`, cancels it first.
    void query_job(const base::cell_id& cell, const base::team_id& team, const base::job_id& job,
                   bool cancel, job_query_callback done);
    // Lists the team's jobs in all cells of this host by id, at most `limit` of them, from the
    // first id after `after`.
    void list(const base::team_id& team, const base::job_id& after, std::size_t limit,
              job_list_callback done);
    void vms(host_vms_callback done);
    void promises(host_promises_callback done);

private:
    class worker;

    std::shared_ptr<worker> worker_;
    std::thread thread_;
};

}  // namespace cranberrydock::daemon
