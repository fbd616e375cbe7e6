// Distributes placement queries over all daemons, because the placement advisor serves one call at
// a time for each calling VM.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/query_router.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/listening_clock.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <map>
#include <memory>
#include <string>

namespace cranberrydock::fleet_daemon {

class advisor_pool {
public:
    // `own` calls the placement advisor from this VM.
    advisor_pool(net::event_loop& loop, fleet::placement_advisor& own, base::metrics& metrics);

    // The other daemons, by VM name.
    void set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers);

    // The number of queries that can be sent now.
    fleet::query_budget room() const { return choice_.budget(listening_time()); }
    // Sends the query through the daemon that is expected to answer first. Calls `done` once.
    void ask(const fleet::placement_query& placement, const fleet::placement_callback& done);

private:
    // The time for the router, which stands still while this process does not process answers.
    base::time_point listening_time() const {
        return base::time_point(listening_.listened(clock_.now()));
    }

    fleet::placement_advisor& own_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, std::shared_ptr<peer>> peers_;
    fleet::query_router choice_;
    listening_clock listening_;
    std::unique_ptr<net::timer> tick_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
