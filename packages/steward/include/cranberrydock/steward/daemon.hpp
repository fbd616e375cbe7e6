// One daemon of the fleet: serves callers, follows the configuration, and owns the fleet when it is
// its turn.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/platform_rows.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/steward/entry.hpp>
#include <cranberrydock/steward/owner_task.hpp>
#include <cranberrydock/steward/peer_calls.hpp>
#include <cranberrydock/steward/relayed_vms.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cranberrydock::steward {

struct daemon_settings {
    std::string vm_name;
    std::string run;      // of this process: its start, so that a later run's is larger
    net::endpoint peers;  // where the other daemons reach this one
    fleet::zone_name zone;
    std::set<fleet::zone_name> region_zones;  // the zones of its region
    // Of the VM: cores that this daemon may use. The fleet is owned by one of the strongest.
    double strength = 1.0;
    std::size_t job_parts = 1;  // the same for all daemons
    fleet::ownership_settings ownership;
    owner_settings owner;
    relay_settings relays;
    // A daemon that is told to stop serves on for so long, while callers move to others.
    base::milliseconds drain{3'000};
    // Counted as cut off from the store when it has not answered for so long.
    base::milliseconds store_silence{1'500};
};

class daemon {
public:
    // `stopped` is called when a stopping daemon may end.
    daemon(net::event_loop& loop, net::http_client& http, fleet::row_store& store,
           fleet::vm_control& vms, fleet::placement_adviser& adviser,
           const fleet::platform_rows& rows, const daemon_settings& settings,
           base::metrics& metrics, std::function<void()> stopped);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // What callers' requests go to.
    entry& callers();
    // What peers' calls go to.
    peer_services& for_peers();
    bool ready() const;
    bool shutting_down() const;
    // Hands the fleet over, serves on for a while, then calls `stopped`.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::steward
