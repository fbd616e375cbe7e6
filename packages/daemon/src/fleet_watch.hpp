// Watches the promises that only the whole fleet shows to be broken: a team above its limit, a
// daemon whose configuration goes back. What a cell shows by itself, its decider watches.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/cell/promise_watch.hpp>
#include <cranberrydock/config/configuration.hpp>

#include "fleet_usage.hpp"

#include <vector>

namespace cranberrydock::daemon {

class fleet_watch {
public:
    explicit fleet_watch(base::metrics& metrics) : metrics_(metrics) {}

    void see_version(const base::daemon_id& peer, base::config_version version);
    void see_usage(const config::configuration& current, const fleet_usage& usage,
                   base::time_point now);

    const std::vector<cell::broken_promise>& broken() const { return broken_; }

private:
    void note(const std::vector<cell::broken_promise>& found);

    base::metrics& metrics_;
    cell::promise_watch watch_;
    std::vector<cell::broken_promise> broken_;
};

}  // namespace cranberrydock::daemon
