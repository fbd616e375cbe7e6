// The meshes of several daemons on one event loop. Each node records its messages and link events.
#pragma once

#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

// The event loop of the nodes, with waiting for a condition instead of for a fixed time.
class mesh_test_loop {
public:
    // Runs the loop until `condition` holds. Returns false if it does not hold within 60 s.
    bool run_until(std::function<bool()> condition);

    // Checks the condition again; called after each change of a node's state.
    void check_condition();

    net::event_loop loop;
    base::monotonic_clock clock;

private:
    std::function<bool()> condition_;  // empty outside run_until()
};

class mesh_node final : private mesh::mesh_events {
public:
    struct options {
        std::string id;
        std::string secret = "the shared secret";
        net::endpoint listen{"127.0.0.1", 0};
        base::milliseconds heartbeat_period{20};
        base::milliseconds silence_deadline{2'000};
        std::size_t near_peers = 0;
        base::milliseconds far_period{30'000};
        base::milliseconds active_period{10'000};
        base::milliseconds usage_period{0};
        base::byte_count max_frame{16 * 1024 * 1024};
        base::byte_count max_queued{64 * 1024 * 1024};
    };

    mesh_node(mesh_test_loop& test_loop, const options& node_options);

    // The peer entry of this node; with a relay's address, other nodes connect through that relay.
    mesh::peer as_peer() const { return as_peer(mesh->listen_endpoint()); }
    mesh::peer as_peer(const net::endpoint& address) const { return {id, address}; }

    std::uint64_t counter(const std::string& name, const std::string& labels) const {
        return metrics.value(name, labels);
    }

    base::daemon_id id;
    base::metrics metrics;
    // The events received so far.
    bool link_is_up = false;  // the state of the last link event
    int link_up_count = 0;
    int link_down_count = 0;
    int heartbeat_count = 0;
    std::vector<mesh::message> messages;  // all but heartbeats
    mesh::heartbeat last_heartbeat;       // the last heartbeat received
    mesh::heartbeat own_state;            // sent in heartbeats to other nodes

    std::unique_ptr<mesh::mesh> mesh;

private:
    void on_message(const base::daemon_id& from, mesh::message received) override;
    void on_link(const base::daemon_id& peer, bool is_up) override;
    mesh::heartbeat current_state() override { return own_state; }

    mesh_test_loop& test_loop_;
};

// Makes the nodes peers of each other, and waits until both links are up. Returns false if they are
// not within 60 s.
bool connect_nodes(mesh_test_loop& test_loop, mesh_node& a, mesh_node& b);

}  // namespace cranberrydock::standins
