// A TCP relay between two daemons that simulates faults on request, on the test's own event loop:
// it stops forwarding open connections without closing them, as a middlebox that has lost their
// state does, delays bytes, limits their rate, or corrupts them.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <cstddef>
#include <memory>

namespace cranberrydock::standins {

struct tcp_relay_options {
    base::milliseconds delay{0};           // in each direction
    base::byte_count bytes_per_second{0};  // per direction and connection; 0: unlimited
};

class tcp_relay {
public:
    // Forwards each connection to `target`.
    tcp_relay(net::event_loop& loop, net::endpoint target, const tcp_relay_options& manner = {});
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    net::endpoint listen_endpoint() const;

    // Stops forwarding the open connections without closing them. New connections work.
    void stall_open_connections();
    // Does the same for one connection, counted from 0 in the order of opening.
    void stall_connection(std::size_t connection);

    // Closes the open connections.
    void cut_open_connections();

    // While on, inverts the last byte of each piece that the target sends on this connection. The
    // connections are counted from 0 in the order of opening.
    void corrupt_answers(std::size_t connection, bool on);

    // Number of connections accepted so far.
    std::size_t accepted_count() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::standins
