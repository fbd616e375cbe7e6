// A daemon: entry to callers and operators, and owner of cells. Every daemon is the same program
// with the same roles.
#pragma once

#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <memory>
#include <string>

namespace cranberrydock::daemon {

class daemon {
public:
    // Listens and begins to take part; `loop` is run by the caller and is stopped when a graceful
    // stop is complete. Throws std::runtime_error when it can't listen.
    daemon(net::event_loop& loop, const config::daemon_settings& settings,
           const std::string& mesh_secret);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    // Where callers reach it.
    net::endpoint http_address() const;

    // Begins a graceful stop: unready to the balancer at once, then cells are handed over, and open
    // requests finish. Calling it again changes nothing.
    void stop();

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::daemon
