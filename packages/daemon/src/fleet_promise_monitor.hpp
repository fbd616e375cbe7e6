// Checks the promises that one cell alone can't check: that no team exceeds its limit fleet-wide,
// and that no daemon goes back to an older configuration. The decider of each cell checks the
// others.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/promise_monitor.hpp>
#include <cranberrydock/config/configuration.hpp>

#include "fleet_usage.hpp"

#include <vector>

namespace cranberrydock::daemon {

class fleet_promise_monitor {
public:
    explicit fleet_promise_monitor(base::metrics& metrics) : metrics_(metrics) {}

    void check_version(const base::daemon_id& peer, base::config_version version);
    void check_usage(const config::configuration& current, const fleet_usage& usage,
                     base::time_point now);

    // The broken promises so far, up to a maximum number.
    const std::vector<cell::broken_promise>& broken() const { return broken_; }

private:
    // Logs, counts and keeps the broken promises.
    void report(const std::vector<cell::broken_promise>& newly_broken);

    base::metrics& metrics_;
    cell::promise_monitor monitor_;
    std::vector<cell::broken_promise> broken_;
};

}  // namespace cranberrydock::daemon
