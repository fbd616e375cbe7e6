// Creates the clients of the platform's services for the daemon's loops: over HTTP, or in the
// memory of this process.
#pragma once

#include <cranberrydock/config/settings.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include "cell_host.hpp"

#include <memory>

namespace cranberrydock::daemon {

class platform_services : public cell_io_factory {
public:
    virtual std::unique_ptr<platform::member_list> make_member_list(net::event_loop& loop) = 0;
};

// Throws std::runtime_error when the services can't be created.
std::unique_ptr<platform_services> make_platform_services(
    const config::platform_settings& settings, const config::identity_settings& identity);

}  // namespace cranberrydock::daemon
