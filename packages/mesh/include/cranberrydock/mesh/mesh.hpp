// The links between daemons. Each pair of daemons has two websocket connections, one for control
// messages and one for bulk transfers, so that a large body never delays a heartbeat. A link counts
// as up only while heartbeats keep arriving on it.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/mesh/messages.hpp>
#include <cranberrydock/mesh/round_trip_history.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::mesh {

struct peer {
    base::daemon_id id;
    net::endpoint address;  // of its mesh port
    // Exchange heartbeats at the full rate whatever the peer's rank, for instance because this
    // daemon is next in line for the peer's cells.
    bool near = false;
};

struct link_status {
    base::daemon_id peer;
    bool up = false;  // the peer's heartbeats arrive within the deadline
    base::time_point last_received{};
    // True when heartbeats arrive at the full rate. Otherwise last_received may be up to far_period
    // old; sending the peer a message raises the rate.
    bool watched = true;
    base::microseconds round_trip{0};  // smoothed; 0 before the first sample
    round_trip_summary round_trips;
    base::byte_count sent;
    base::byte_count received;
};

// Callbacks of a mesh, made on the event loop's thread.
class mesh_events {
public:
    virtual ~mesh_events() = default;
    // Messages that a peer sends on one connection are delivered in the order of sending.
    virtual void on_message(const base::daemon_id& from, message msg) = 0;
    virtual void on_link(const base::daemon_id& peer, bool up) = 0;
    // Returns the state to send in the next heartbeat.
    virtual heartbeat current_state() = 0;
};

struct mesh_settings {
    net::endpoint listen;
    base::daemon_id self;
    std::string secret;  // shared by all daemons; a peer must prove it before its data is read
    base::milliseconds heartbeat_period{500};
    base::milliseconds peer_timeout{2'000};  // a link without data for this long is reopened
    // The number of near peers, chosen by rendezvous rank; 0 makes all peers near. Large fleets
    // limit it because heartbeats at the full rate with every peer cost too much. Peers that choose
    // this daemon are near as well. A link that is not near and was not used within active_period
    // carries one heartbeat every far_period.
    std::size_t near_peers = 0;
    base::milliseconds far_period{30'000};
    base::milliseconds active_period{10'000};
    // The minimum interval between two heartbeats of a link that carry changes of the teams' usage.
    base::milliseconds usage_period{0};
    base::byte_count max_frame{16 * 1024 * 1024};   // of one message or frame, sent or received
    base::byte_count max_queued{64 * 1024 * 1024};  // per link; send() refuses messages beyond it
};

class mesh {
public:
    virtual ~mesh() = default;

    // Sets the daemons to connect to, and closes the links to all others.
    virtual void set_peers(const std::vector<peer>& peers) = 0;

    // Returns false, and sends nothing, when the link is down, the message exceeds max_frame or the
    // queue is full. True does not guarantee delivery.
    virtual bool send(const base::daemon_id& recipient, const message& msg) = 0;

    virtual std::vector<link_status> links() const = 0;

    virtual net::endpoint listen_endpoint() const = 0;
};

// Must be used and destroyed on `loop`'s thread, and must not be destroyed from within a callback
// of `listener`. `loop`, `listener`, `metrics` and `clock` must outlive it. Throws
// std::runtime_error when it cannot listen.
std::unique_ptr<mesh> make_websocket_mesh(net::event_loop& loop, const mesh_settings& settings,
                                          mesh_events& listener, base::metrics& metrics,
                                          const base::clock& clock);

}  // namespace cranberrydock::mesh
