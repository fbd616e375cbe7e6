// The task that decides for the cells that this daemon owns. It runs on a thread and loop of its
// own, so that neither a slow caller nor a slow store holds up a decision; the rest of the daemon
// talks to it by messages, and it answers by messages to the daemon's loop.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/allowance_keeper.hpp>
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

// A cell as this daemon comes to own it.
struct cell_start {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_condition guard;  // every journal write is conditional on it
};

// What the host tells the daemon, on the daemon's loop.
class cell_host_listener {
public:
    virtual ~cell_host_listener() = default;
    virtual void on_reply(cell::reply_id to, const base::work_outcome& outcome,
                          const std::vector<base::trace_step>& trace) = 0;
    virtual void on_drained(const base::cell_id& cell) = 0;
    virtual void on_superseded(const base::cell_id& cell, base::epoch seen) = 0;
    virtual void on_loads(const base::cell_id& cell,
                          const std::vector<policy::team_load>& loads) = 0;
};

// Commands to worker VMs and to plain HTTP runners alike.
class upstream_client : public platform::vm_client {
public:
    // Which members are runners.
    virtual void set_members(const std::vector<platform::member>& members) = 0;
};

// Makes what the host's thread needs for I/O, on that thread's loop.
class cell_io_factory {
public:
    virtual ~cell_io_factory() = default;
    virtual std::unique_ptr<upstream_client> make_upstream_client(net::event_loop& loop) = 0;
    virtual std::unique_ptr<platform::table_service> make_table_service(net::event_loop& loop) = 0;
};

// `owned` false: this host can't speak for the cell, at the moment or any more.
struct job_answer {
    bool owned = false;
    std::optional<base::job_view> view;  // nothing: no such job
};

using view_callback = std::function<void(job_answer)>;
using views_callback = std::function<void(std::vector<base::job_view>)>;
using host_vms_callback = std::function<void(std::vector<cell::vm_view>)>;
using host_promises_callback = std::function<void(std::vector<cell::broken_promise>)>;

class cell_host {
public:
    // Starts the thread. `listener` is called, and callbacks come, on `daemon_loop`.
    cell_host(const config::daemon_settings& settings, const base::daemon_id& self,
              net::event_loop& daemon_loop, cell_io_factory& io, base::metrics& metrics,
              cell_host_listener& listener);
    // Ends the thread; what was not done is left to the next owners.
    ~cell_host();
    cell_host(const cell_host&) = delete;
    cell_host& operator=(const cell_host&) = delete;

    void own(const cell_start& start);
    void lose(const base::cell_id& cell);
    void drain(const base::cell_id& cell);
    void extend_evidence(const base::cell_id& cell, base::time_point until);
    void set_rules(const base::cell_id& cell, cell::rules_changed rules);
    void set_limits(const base::cell_id& cell, std::vector<cell::team_limit> limits);
    void set_vms(const base::cell_id& cell, std::vector<platform::member> vms);
    void drain_vm(const base::vm_id& vm, bool drain);

    // False when the host's mailbox is full: then it was not taken.
    bool submit(const base::cell_id& cell, const base::work& what, cell::reply_id reply_to);
    void ask(const base::cell_id& cell, const base::team_id& team, const base::job_id& job,
             bool cancel, view_callback done);
    void list(const base::team_id& team, const base::job_id& after, std::size_t limit,
              views_callback done);
    void vms(host_vms_callback done);
    void promises(host_promises_callback done);

private:
    class worker;

    std::shared_ptr<worker> worker_;
    std::thread thread_;
};

}  // namespace cranberrydock::daemon
