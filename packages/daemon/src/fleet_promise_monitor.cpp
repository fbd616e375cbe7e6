// Checks the promises that one cell alone can't check.
#include "fleet_promise_monitor.hpp"

#include <spdlog/spdlog.h>

namespace cranberrydock::daemon {
namespace {

constexpr std::size_t max_kept_promises = 1'000;

}  // namespace

void fleet_promise_monitor::check_version(const base::daemon_id& peer,
                                          base::config_version version) {
    report(monitor_.observe(peer, version));
}

void fleet_promise_monitor::check_usage(const config::configuration& current,
                                        const fleet_usage& usage, base::time_point now) {
    auto running = usage.running();
    for (const auto& it : current.teams) {
        report(monitor_.observe({it.id, running[it.id], it.upper_limit}, now));
    }
}

void fleet_promise_monitor::report(const std::vector<cell::broken_promise>& newly_broken) {
    for (const auto& it : newly_broken) {
        metrics_.count("cranberrydock_promises_broken_total", "promise=\"" + it.promise + "\"");
        spdlog::error("event=promise_broken promise={} evidence=\"{}\"", it.promise, it.evidence);
        if (broken_.size() < max_kept_promises) {
            broken_.push_back(it);
        }
    }
}

}  // namespace cranberrydock::daemon
