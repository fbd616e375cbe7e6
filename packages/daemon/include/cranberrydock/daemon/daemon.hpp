// A daemon serves the HTTP API to callers and operators, and owns cells. Every daemon runs the same
// program and has the same roles.
#pragma once

#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <memory>
#include <string>

namespace cranberrydock::daemon {

class daemon {
public:
    // Opens the listening sockets and joins the cluster. The caller runs `loop`; the daemon stops
    // it when a graceful stop is complete. Throws std::runtime_error when it can't listen.
    daemon(net::event_loop& loop, const config::daemon_settings& settings,
           const std::string& mesh_secret);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // The address on which it listens for HTTP requests.
    net::endpoint http_address() const;

    // Begins a graceful stop: the daemon reports unready to the balancer at once, then hands over
    // its cells and finishes the open requests. Further calls have no effect.
    void stop();

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::daemon
