// Nodes that record, and the waiting.
#include "mesh_node.hpp"

#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr base::seconds generous{60};
constexpr base::milliseconds glance{10};  // for conditions that nothing tells about

}  // namespace

bool mesh_world::run_until(std::function<bool()> done) {
    done_ = std::move(done);
    const auto deadline = loop.after(generous, [this] { loop.stop(); });
    const auto look = loop.every(glance, [this] { changed(); });
    if (!done_()) {
        loop.run();
    }
    return std::exchange(done_, nullptr)();
}

void mesh_world::changed() {
    if (done_ && done_()) {
        loop.stop();
    }
}

mesh_node::mesh_node(mesh_world& world, const options& wanted) : id(wanted.id), world_(world) {
    mesh::mesh_settings settings;
    settings.listen = wanted.listen;
    settings.self = id;
    settings.secret = wanted.secret;
    settings.heartbeat_period = wanted.heartbeat_period;
    settings.silence_deadline = wanted.silence_deadline;
    settings.near_peers = wanted.near_peers;
    settings.far_period = wanted.far_period;
    settings.active_time = wanted.active_time;
    settings.usage_period = wanted.usage_period;
    settings.max_frame = wanted.max_frame;
    settings.max_queued = wanted.max_queued;
    mesh = mesh::make_websocket_mesh(world.loop, settings, *this, metrics, world.clock);
}

void mesh_node::on_message(const base::daemon_id& /*from*/, mesh::message what) {
    if (std::holds_alternative<mesh::heartbeat>(what)) {
        ++heartbeats;
        heard = std::get<mesh::heartbeat>(std::move(what));
    } else {
        messages.push_back(std::move(what));
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
