// Daemons' meshes in one test, on one event loop: each node records what it is told.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

// The loop, and waiting on it for an event instead of for a time.
class mesh_world {
public:
    // Runs the loop until `done` holds; false after a generous deadline.
    bool run_until(std::function<bool()> done);

    // Something has changed that `done` may look at.
    void changed();

    net::event_loop loop;
    base::monotonic_clock clock;

private:
    std::function<bool()> done_;  // empty when nobody waits
};

class mesh_node final : private mesh::mesh_listener {
public:
    struct options {
        std::string id;
        std::string secret = "the shared secret";
        net::endpoint listen{"127.0.0.1", 0};
        base::milliseconds heartbeat_period{20};
        base::milliseconds silence_deadline{2'000};
        std::size_t near_peers = 0;
        base::milliseconds far_period{30'000};
        base::milliseconds active_time{10'000};
        base::milliseconds usage_period{0};
        base::byte_count max_frame{16 * 1024 * 1024};
        base::byte_count max_queued{64 * 1024 * 1024};
    };

    mesh_node(mesh_world& world, const options& wanted);

    // The peer entry of this node; through a relay, when its address is given.
    mesh::peer as_peer() const { return as_peer(mesh->listening_on()); }
    mesh::peer as_peer(const net::endpoint& address) const { return {id, address}; }

    std::uint64_t counter(const std::string& name, const std::string& labels) const {
        return metrics.value(name, labels);
    }

    base::daemon_id id;
    base::metrics metrics;
    // What it was told.
    bool up = false;  // its last link event
    int ups = 0;
    int downs = 0;
    int heartbeats = 0;
    std::vector<mesh::message> messages;  // without the heartbeats
    mesh::heartbeat heard;                // the last one
    mesh::heartbeat state;                // what it tells others

    std::unique_ptr<mesh::mesh> mesh;

private:
    void on_message(const base::daemon_id& from, mesh::message what) override;
    void on_link(const base::daemon_id& peer, bool is_up) override;
    mesh::heartbeat current_state() override { return state; }

    mesh_world& world_;
};

// Names each to the other and waits until both links are up.
bool link_up(mesh_world& world, mesh_node& a, mesh_node& b);

}  // namespace cranberrydock::standins
