// Distributes placement queries over all daemons, because the placement advisor serves one call at
// a time for each calling VM.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/query_router.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/peer.hpp>

#include <map>
#include <memory>
#include <string>

namespace cranberrydock::fleet_daemon {

class advisor_pool {
public:
    // `own` calls the placement advisor from this VM.
    advisor_pool(fleet::placement_advisor& own, base::metrics& metrics);

    // The other daemons, by VM name.
    void set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers);

    // The number of queries that can be sent now.
    fleet::query_budget room() const { return choice_.budget(clock_.now()); }
    // Sends the query through the daemon that is expected to answer first. Calls `done` once.
    void ask(const fleet::placement_query& placement, const fleet::placement_callback& done);

private:
    fleet::placement_advisor& own_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, std::shared_ptr<peer>> peers_;
    fleet::query_router choice_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
