// Whether a process listens at an address: a connection that is refused by the machine itself tells
// a process that has ended from a network that is broken.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <functional>
#include <memory>

namespace cranberrydock::net {

enum class listener_state {
    listens,
    nothing_listens,  // the machine refused the connection
    unknown,          // no answer in time, or no connection could be tried here
};

class listener_probe {
public:
    virtual ~listener_probe() = default;

    // Calls `done` once, on the probe's loop, within `timeout`; never inside the call.
    virtual void ask(const endpoint& to, base::milliseconds timeout,
                     std::function<void(listener_state)> done) = 0;
};

// Use and destroy on `loop`'s thread.
std::unique_ptr<listener_probe> make_listener_probe(event_loop& loop);

}  // namespace cranberrydock::net
