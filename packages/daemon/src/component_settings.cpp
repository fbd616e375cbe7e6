// Derives the settings of the daemon's components from those of the daemon.
#include "component_settings.hpp"

#include <cranberrydock/base/digest.hpp>

namespace cranberrydock::daemon {
namespace {

constexpr std::size_t random_suffix_bytes = 4;

}  // namespace

base::daemon_id make_daemon_id(const config::identity_settings& identity) {
    return base::daemon_id(identity.vm.str() + "~" + base::random_hex(random_suffix_bytes));
}

mesh::mesh_settings mesh_settings_of(const config::daemon_settings& settings,
                                     const base::daemon_id& self, const std::string& secret) {
    mesh::mesh_settings out;
    out.listen = settings.listen.mesh;
    out.self = self;
    out.secret = secret;
    out.heartbeat_period = settings.mesh.heartbeat;
    out.peer_timeout = settings.mesh.silence_deadline;
    out.near_peers = settings.mesh.near_peers;
    out.far_period = settings.mesh.far_period;
    out.usage_period = settings.mesh.usage_period;
    return out;
}

cell::ownership_settings ownership_settings_of(const config::daemon_settings& settings,
                                               const base::daemon_id& self,
                                               const net::endpoint& mesh,
                                               const net::endpoint& http) {
    cell::ownership_settings out;
    out.self = self;
    out.vm = settings.identity.vm;
    out.region = settings.identity.region;
    out.zone = settings.identity.zone;
    out.mesh_address = mesh;
    out.http_address = http;
    out.renew_period = settings.ownership.renew;
    out.lease = settings.ownership.lease;
    out.scan_period = settings.ownership.scan;
    out.safety_margin = settings.ownership.safety_margin;
    out.rank_delay = settings.ownership.rank_delay;
    return out;
}

}  // namespace cranberrydock::daemon
