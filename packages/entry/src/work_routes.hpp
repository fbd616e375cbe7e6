// The routes by which callers submit, query, cancel and list work.
#pragma once

#include <cranberrydock/entry/api_server.hpp>
#include <cranberrydock/entry/request_path.hpp>

#include "route.hpp"

namespace cranberrydock::entry {

class work_routes final : public route_family {
public:
    explicit work_routes(const api_dependencies& dependencies)
        : dependencies_(dependencies),
          path_(dependencies.configuration, dependencies.router, dependencies.metrics,
                dependencies.clock) {}

    std::vector<route> routes() override;

private:
    void ask(const routed_request& request, const net::http_responder& respond, bool cancel);
    void explain(const routed_request& request, const net::http_responder& respond);
    void list(const routed_request& request, const net::http_responder& respond);

    api_dependencies dependencies_;
    request_path path_;
};

}  // namespace cranberrydock::entry
