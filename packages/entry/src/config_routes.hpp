// The routes by which operators read and patch the configuration.
#pragma once

#include <cranberrydock/entry/api_server.hpp>

#include "route.hpp"

namespace cranberrydock::entry {

class config_routes final : public route_family {
public:
    explicit config_routes(const api_dependencies& dependencies) : dependencies_(dependencies) {}

    std::vector<route> routes() override;

private:
    void get(const routed_request& request, const net::http_responder& respond);
    void patch(const routed_request& request, const net::http_responder& respond);
    void list(const routed_request& request, const net::http_responder& respond);
    void show(const routed_request& request, const net::http_responder& respond);
    void compare(const routed_request& request, const net::http_responder& respond);

    // Returns true if the request has an operator's key; otherwise responds with the refusal.
    bool require_operator(const net::http_request& request, const net::http_responder& respond);
    // Calls `on_found` with the version; responds with a problem if it can't be read or is unknown.
    void with_version(base::config_version version, const net::http_responder& respond,
                      std::function<void(const version_document&)> on_found);

    api_dependencies dependencies_;
};

}  // namespace cranberrydock::entry
