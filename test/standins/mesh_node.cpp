// The nodes of a test, and the waiting on their event loop.
#include "mesh_node.hpp"

#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr base::seconds max_wait{60};
// For conditions whose changes are not notified.
constexpr base::milliseconds condition_poll_period{10};

}  // namespace

bool mesh_world::run_until(std::function<bool()> condition) {
    condition_ = std::move(condition);
    const auto deadline = loop.after(max_wait, [this] { loop.stop(); });
    const auto poll = loop.every(condition_poll_period, [this] { changed(); });
    if (!condition_()) {
        loop.run();
    }
    return std::exchange(condition_, nullptr)();
}

void mesh_world::changed() {
    if (condition_ && condition_()) {
        loop.stop();
    }
}

mesh_node::mesh_node(mesh_world& world, const options& node_options)
    : id(node_options.id), world_(world) {
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
    mesh = mesh::make_websocket_mesh(world.loop, settings, *this, metrics, world.clock);
}

void mesh_node::on_message(const base::daemon_id& /*from*/, mesh::message received) {
    if (std::holds_alternative<mesh::heartbeat>(received)) {
        ++heartbeats;
        heard = std::get<mesh::heartbeat>(std::move(received));
    } else {
        messages.push_back(std::move(received));
    }
    world_.changed();
}

void mesh_node::on_link(const base::daemon_id& /*peer*/, bool is_up) {
    up = is_up;
    ++(is_up ? ups : downs);
    world_.changed();
}

bool link_up(mesh_world& world, mesh_node& a, mesh_node& b) {
    a.mesh->set_peers({b.as_peer()});
    b.mesh->set_peers({a.as_peer()});
    return world.run_until([&] { return a.up && b.up; });
}

}  // namespace cranberrydock::standins
