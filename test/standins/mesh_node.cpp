// The nodes of a test, and the waiting on their event loop.
#include "mesh_node.hpp"

#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr base::seconds max_wait{60};
// For conditions whose changes are not notified.
constexpr base::milliseconds condition_poll_period{10};

}  // namespace

bool mesh_test_loop::run_until(std::function<bool()> condition) {
    condition_ = std::move(condition);
    const auto deadline = loop.after(max_wait, [this] { loop.stop(); });
    const auto poll = loop.every(condition_poll_period, [this] { check_condition(); });
    if (!condition_()) {
        loop.run();
    }
    return std::exchange(condition_, nullptr)();
}

void mesh_test_loop::check_condition() {
    if (condition_ && condition_()) {
        loop.stop();
    }
}

mesh_node::mesh_node(mesh_test_loop& test_loop, const options& node_options)
    : id(node_options.id), test_loop_(test_loop) {
    mesh::mesh_settings settings;
    settings.listen = node_options.listen;
    settings.self = id;
    settings.secret = node_options.secret;
    settings.heartbeat_period = node_options.heartbeat_period;
    settings.peer_timeout = node_options.silence_deadline;
    settings.near_peers = node_options.near_peers;
    settings.far_period = node_options.far_period;
    settings.active_period = node_options.active_period;
    settings.usage_period = node_options.usage_period;
    settings.max_frame = node_options.max_frame;
    settings.max_queued = node_options.max_queued;
    mesh = mesh::make_websocket_mesh(test_loop.loop, settings, *this, metrics, test_loop.clock);
}

void mesh_node::on_message(const base::daemon_id& /*from*/, mesh::message received) {
    if (std::holds_alternative<mesh::heartbeat>(received)) {
        ++heartbeat_count;
        last_heartbeat = std::get<mesh::heartbeat>(std::move(received));
    } else {
        messages.push_back(std::move(received));
    }
    test_loop_.check_condition();
}

void mesh_node::on_link(const base::daemon_id& /*peer*/, bool is_up) {
    link_is_up = is_up;
    ++(is_up ? link_up_count : link_down_count);
    test_loop_.check_condition();
}

bool connect_nodes(mesh_test_loop& test_loop, mesh_node& a, mesh_node& b) {
    a.mesh->set_peers({b.as_peer()});
    b.mesh->set_peers({a.as_peer()});
    return test_loop.run_until([&] { return a.link_is_up && b.link_is_up; });
}

}  // namespace cranberrydock::standins
