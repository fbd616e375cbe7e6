// The routes that show operators the state of the cluster (cells, VMs, broken promises) and drain
// VMs.
#pragma once

#include <cranberrydock/entry/api_server.hpp>

#include "route.hpp"

namespace cranberrydock::entry {

class cluster_routes final : public route_family {
public:
    explicit cluster_routes(const api_dependencies& dependencies) : dependencies_(dependencies) {}

    std::vector<route> routes() override;

private:
    api_dependencies dependencies_;
};

}  // namespace cranberrydock::entry
