// A TCP relay between two daemons that misbehaves on demand, on the test's own event loop: it stops
// forwarding open connections without closing them, as a middle box that has lost track of them
// does, slows bytes down, or damages them.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <cstddef>
#include <memory>

namespace cranberrydock::standins {

struct relay_manner {
    base::milliseconds delay{0};         // each way
    base::byte_count bytes_a_second{0};  // each way and connection; 0: unbounded
};

class tcp_relay {
public:
    // Forwards each connection to `target`.
    tcp_relay(net::event_loop& loop, net::endpoint target, const relay_manner& manner = {});
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    net::endpoint listening_on() const;

    // What is open now is forwarded no more, and not closed either. New connections work.
    void silence_open_connections();
    // The same for one of them, counted from 0 in the order of their opening.
    void silence_connection(std::size_t connection);

    // Closes what is open now.
    void cut_open_connections();

    // While on, damages the last byte of whatever the target sends on that connection, counted from
    // 0 in the order of their opening.
    void damage_answers(std::size_t connection, bool on);

    // Connections taken so far.
    std::size_t accepted() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::standins
