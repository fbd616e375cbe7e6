// This daemon's part in the assignment of cells to owners: runs the ownership state machine against
// the platform's table service and the mesh.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/mesh/messages.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include "cell_host.hpp"
#include "routing_table.hpp"
#include "work_forwarder.hpp"

#include <memory>
#include <vector>

namespace cranberrydock::daemon {

// Receives the changes of the ownership of cells, on the daemon's loop.
class registry_listener {
public:
    virtual ~registry_listener() = default;
    virtual void on_gained(const cell_start& start) = 0;
    virtual void on_lost(const base::cell_id& cell) = 0;
    // The listener drains the cell and then calls registry_manager::on_drained(); on_lost() does
    // not follow.
    virtual void on_drain_requested(const base::cell_id& cell) = 0;
    virtual void on_routes(const cell::routes_changed& routes) = 0;
    virtual void on_stopped() = 0;
};

class registry_manager {
public:
    registry_manager(const cell::ownership_settings& settings, platform::table_service& table,
                     peer_sender& peers, const base::clock& clock, base::metrics& metrics,
                     registry_listener& listener);

    void tick();
    void set_cells(const config::configuration& current);
    // The VMs of the member list that run daemons.
    void set_daemon_vms(std::vector<base::vm_id> live);
    void on_peer_alive(const base::daemon_id& peer);
    // A takeover hold-off: another daemon asks this one not to take over its cells for a time.
    void on_hold_off_request(const base::daemon_id& from, const mesh::hold_off_request& request);
    void on_hold_off_answer(const base::daemon_id& from, const mesh::hold_off_answer& answer);
    void on_cells_offered();
    void on_drained(const base::cell_id& cell);
    // Hands over the cells. The daemon's registry row stays until stop(), and with it the links to
    // other daemons.
    void release_cells();
    // Hands over the remaining cells and deletes the daemon's registry row; on_stopped() follows.
    void stop();

    // The point in time until which this daemon can prove that it owns the cell.
    base::time_point evidence_until(const base::cell_id& cell) const;

private:
    void handle(const cell::ownership_event& event);
    void carry_out(const cell::scan_registry& effect);
    void carry_out(const cell::commit& effect);
    void carry_out(const cell::request_hold_off& effect);
    void carry_out(const cell::answer_hold_off& effect);
    void carry_out(const cell::cell_gained& effect);
    void carry_out(const cell::cell_suspended& effect);
    void carry_out(const cell::cell_resumed& effect);
    void carry_out(const cell::cell_lost& effect);
    void carry_out(const cell::drain_cell& effect);
    void carry_out(const cell::routes_changed& effect);
    void carry_out(const cell::stop_finished& effect);
    void scan_page(cell::operation_id operation, std::vector<platform::row> rows,
                   const platform::row_key& prefix, const platform::row_key& after);

    cell::ownership ownership_;
    platform::table_service& table_;
    peer_sender& peers_;
    const base::clock& clock_;
    base::metrics& metrics_;
    registry_listener& listener_;
    // Callbacks hold a weak pointer to it, so that they do nothing after the destruction.
    std::shared_ptr<registry_manager*> self_ = std::make_shared<registry_manager*>(this);
};

}  // namespace cranberrydock::daemon
