// Derives the settings of the daemon's components from those of the daemon.
#pragma once

#include <cranberrydock/cell/ownership.hpp>
#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/mesh/mesh.hpp>

#include <string>

namespace cranberrydock::daemon {

// An id that is unique to this run of the daemon: the name of the VM and a random suffix.
base::daemon_id make_daemon_id(const config::identity_settings& identity);

mesh::mesh_settings mesh_settings_of(const config::daemon_settings& settings,
                                     const base::daemon_id& self, const std::string& secret);

cell::ownership_settings ownership_settings_of(const config::daemon_settings& settings,
                                               const base::daemon_id& self,
                                               const net::endpoint& mesh,
                                               const net::endpoint& http);

}  // namespace cranberrydock::daemon
