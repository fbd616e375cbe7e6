// Tests whether a process listens on an endpoint. If the machine itself refuses the connection, the
// process has ended; if there is no reply, the network may be at fault.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <functional>
#include <memory>

namespace cranberrydock::net {

enum class listener_state {
    listens,             // the connection was established
    connection_refused,  // the machine refused the connection
    unknown,             // no reply in time, or the connection could not be attempted
};

class listener_probe {
public:
    virtual ~listener_probe() = default;

    // Calls `done` once, on the probe's loop, within `timeout`; never before probe() returns.
    virtual void probe(const endpoint& destination, base::milliseconds timeout,
                       std::function<void(listener_state)> done) = 0;
};

// Use and destroy the probe on `loop`'s thread. Attempts that are pending when it is destroyed are
// cancelled without a callback.
std::unique_ptr<listener_probe> make_listener_probe(event_loop& loop);

}  // namespace cranberrydock::net
