// The links between daemons: two websocket connections a pair, one for control and one for bulk, so
// that a large body never delays a heartbeat. A link is trusted no longer than its last sign of
// life.
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
    // Watched at the full rate whatever its rank, for instance by who is next in line for its
    // cells.
    bool near = false;
};

struct link_status {
    base::daemon_id peer;
    bool up = false;  // heard from within the deadline
    base::time_point last_heard{};
    // Heartbeats come at the full rate; otherwise last_heard may lie far_period back, and whoever
    // wants to know sooner sends the peer something.
    bool watched = true;
    base::microseconds round_trip{0};  // smoothed; 0 before the first
    round_trip_summary round_trips;
    base::byte_count sent;
    base::byte_count received;
};

class mesh_listener {
public:
    virtual ~mesh_listener() = default;
    // Messages of one peer and one connection come in the order of their sending.
    virtual void on_message(const base::daemon_id& from, message what) = 0;
    virtual void on_link(const base::daemon_id& peer, bool up) = 0;
    // The content of the next heartbeat.
    virtual heartbeat current_state() = 0;
};

struct mesh_settings {
    net::endpoint listen;
    base::daemon_id self;
    std::string secret;  // shared by all daemons; a peer proves it before anything is read from it
    base::milliseconds heartbeat_period{500};
    base::milliseconds silence_deadline{2'000};  // a link that is silent for so long is opened anew
    // For large fleets, where heartbeats at the full rate with every peer cost too much: only so
    // many peers, chosen by rendezvous rank, are near, besides those that choose this daemon. 0:
    // all are. A link that is neither near nor used within active_time has a heartbeat every
    // far_period.
    std::size_t near_peers = 0;
    base::milliseconds far_period{30'000};
    base::milliseconds active_time{10'000};
    // Changes of teams' usage go with a link's next heartbeat, but no more often than this.
    base::milliseconds usage_period{0};
    base::byte_count max_frame{16 * 1024 * 1024};   // of one message or frame, both ways
    base::byte_count max_queued{64 * 1024 * 1024};  // per link; more is refused, not dropped later
};

class mesh {
public:
    virtual ~mesh() = default;

    // The daemons to be linked with; links to others are closed.
    virtual void set_peers(const std::vector<peer>& peers) = 0;

    // False when there is no live link or its queue is full: then nothing was sent. True promises
    // nothing about arrival.
    virtual bool send(const base::daemon_id& to, const message& what) = 0;

    virtual std::vector<link_status> links() const = 0;

    virtual net::endpoint listening_on() const = 0;
};

// Use and destroy on `loop`'s thread, and destroy it outside of the listener's calls. Throws
// std::runtime_error when it can't listen.
std::unique_ptr<mesh> make_websocket_mesh(net::event_loop& loop, const mesh_settings& settings,
                                          mesh_listener& listener, base::metrics& metrics,
                                          const base::clock& clock);

}  // namespace cranberrydock::mesh
