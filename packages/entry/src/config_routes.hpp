// The routes of operators: configuration versions and patches.
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

    // Answers with the refusal unless an operator asks.
    bool allowed(const net::http_request& request, const net::http_responder& respond);
    void with_version(base::config_version version, const net::http_responder& respond,
                      std::function<void(const version_document&)> use);

    api_dependencies dependencies_;
};

}  // namespace cranberrydock::entry
