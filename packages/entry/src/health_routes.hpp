// The routes of load balancers and monitoring: metrics, liveness and readiness.
#pragma once

#include <cranberrydock/entry/api_server.hpp>

#include "route.hpp"

namespace cranberrydock::entry {

class health_routes final : public route_family {
public:
    explicit health_routes(const api_dependencies& dependencies) : dependencies_(dependencies) {}

    std::vector<route> routes() override;

private:
    api_dependencies dependencies_;
};

}  // namespace cranberrydock::entry
