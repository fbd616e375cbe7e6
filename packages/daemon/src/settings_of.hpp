// The parts' settings out of a daemon's.
#pragma once

#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include <string>

namespace cranberrydock::daemon {

// A name that no other run of a daemon has, on this VM or another.
base::daemon_id name_daemon(const config::identity_settings& identity);

mesh::mesh_settings mesh_settings_of(const config::daemon_settings& settings,
                                     const base::daemon_id& self, const std::string& secret);

cell::ownership_settings ownership_settings_of(const config::daemon_settings& settings,
                                               const base::daemon_id& self,
                                               const net::endpoint& mesh,
                                               const net::endpoint& http);

}  // namespace cranberrydock::daemon
