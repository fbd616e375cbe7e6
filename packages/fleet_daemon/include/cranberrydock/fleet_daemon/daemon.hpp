// One daemon of the fleet: serves callers and peers, follows the configuration, and runs the
// owner's task while it is the owner.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/platform_rows.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet_daemon/job_api.hpp>
#include <cranberrydock/fleet_daemon/owner_task.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>
#include <cranberrydock/fleet_daemon/relayed_vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cranberrydock::fleet_daemon {

struct daemon_settings {
    std::string vm_name;
    std::string run;  // names this process by its start time, so that a later run compares larger
    net::endpoint peers;  // the address for the other daemons
    fleet::zone_name zone;
    std::set<fleet::zone_name> region_zones;  // all zones of the region
    // Number of cores that this daemon may use. Daemons with the most cores are preferred as owner.
    double cores = 1.0;
    std::size_t job_parts = 1;  // must be the same for all daemons
    fleet::ownership_settings ownership;
    owner_settings owner;
    relay_settings relays;
    // A daemon that is being stopped continues to serve for this long, while callers move to other
    // daemons.
    base::milliseconds drain{3'000};
    // The daemon is not ready if the store has not answered for this long.
    base::milliseconds store_response_timeout{1'500};
};

class daemon {
public:
    // Calls `stopped` once after stop(), when the process may end.
    daemon(net::event_loop& loop, net::http_client& http, fleet::row_store& store,
           fleet::vm_control& vms, fleet::placement_advisor& advisor,
           const fleet::platform_rows& rows, const daemon_settings& settings,
           base::metrics& metrics, std::function<void()> stopped);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // The operations for callers.
    job_api& callers();
    // The operations for peers.
    peer_services& services_for_peers();
    // Whether callers can be served: the configuration is known, the store answers, and the daemon
    // is not being stopped.
    bool ready() const;
    bool shutting_down() const;
    // Releases the ownership, continues to serve for `drain`, then calls `stopped`.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::fleet_daemon
