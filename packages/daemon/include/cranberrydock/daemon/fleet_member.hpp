// A daemon on the users' shared platform: connects a fleet daemon to the platform's services and
// runs it.
#pragma once

#include <cranberrydock/shared_platform/site_settings.hpp>

#include <string>

namespace cranberrydock::daemon {

// Runs until a graceful stop after SIGTERM or SIGINT is complete, and returns the exit status of
// the process. On SIGHUP it reads `settings_path` again and logs whether the file is valid.
// `refuse_overloaded`: see fleet_daemon::owner_settings.
int run_fleet_member(const shared_platform::site_settings& settings,
                     const std::string& settings_path, bool refuse_overloaded);

}  // namespace cranberrydock::daemon
