// Watches the promises that only the whole fleet shows to be broken.
#include "fleet_watch.hpp"

#include <spdlog/spdlog.h>

namespace cranberrydock::daemon {
namespace {

constexpr std::size_t most_promises_kept = 1'000;

}  // namespace

void fleet_watch::see_version(const base::daemon_id& peer, base::config_version version) {
    note(watch_.see(peer, version));
}

void fleet_watch::see_usage(const config::configuration& current, const fleet_usage& usage,
                            base::time_point now) {
    auto running = usage.running();
    for (const auto& it : current.teams) {
        note(watch_.see({it.id, running[it.id], it.upper_limit}, now));
    }
}

void fleet_watch::note(const std::vector<cell::broken_promise>& found) {
    for (const auto& it : found) {
        metrics_.count("cranberrydock_promises_broken_total", "promise=\"" + it.promise + "\"");
        spdlog::error("event=promise_broken promise={} evidence=\"{}\"", it.promise, it.evidence);
        if (broken_.size() < most_promises_kept) {
            broken_.push_back(it);
        }
    }
}

}  // namespace cranberrydock::daemon
