// This daemon's part in the agreement on who owns which cell: drives the ownership machine against
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

class registry_listener {
public:
    virtual ~registry_listener() = default;
    virtual void on_gained(const cell_start& start) = 0;
    virtual void on_lost(const base::cell_id& cell) = 0;
    virtual void on_drain_wanted(const base::cell_id& cell) = 0;
    virtual void on_routes(const cell::routes_changed& routes) = 0;
    virtual void on_stopped() = 0;
};

class registry_keeper {
public:
    registry_keeper(const cell::ownership_settings& settings, platform::table_service& table,
                    peer_sender& peers, const base::clock& clock, base::metrics& metrics,
                    registry_listener& listener);

    void tick();
    void set_cells(const config::configuration& current);
    void set_entries(std::vector<base::vm_id> live);
    void on_peer_heard(const base::daemon_id& peer);
    void on_silence_query(const base::daemon_id& from, const mesh::silence_query& what);
    void on_silence_promise(const base::daemon_id& from, const mesh::silence_promise& what);
    void on_cells_offered();
    void on_drained(const base::cell_id& cell);
    // The cells go; the row stays until stop(), and with it the links to other daemons.
    void give_up_cells();
    void stop();

    // Until when this daemon can show that it owns the cell.
    base::time_point evidence_until(const base::cell_id& cell) const;

private:
    void handle(const cell::ownership_event& event);
    void carry_out(const cell::scan_registry& effect);
    void carry_out(const cell::commit& effect);
    void carry_out(const cell::ask_silence& effect);
    void carry_out(const cell::promise_silence& effect);
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
    // Answers that come after this keeper is gone find it so.
    std::shared_ptr<registry_keeper*> self_ = std::make_shared<registry_keeper*>(this);
};

}  // namespace cranberrydock::daemon
