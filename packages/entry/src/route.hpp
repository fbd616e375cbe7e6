// One route of the HTTP interface: a method and a path, of which the last part may be a name.
#pragma once

#include <cranberrydock/net/http_server.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::entry {

// A request that has found its route; `name` is the path's variable part, decoded.
struct routed_request {
    net::http_request http;
    std::string name;
};

struct route {
    net::http_method method = net::http_method::get;
    // E.g. "/v1/jobs" or "/v1/jobs/{name}"; a part may follow: "/v1/vms/{name}/drain".
    std::string pattern;
    std::function<void(routed_request, net::http_responder)> handle;
};

// A family of routes.
class route_family {
public:
    virtual ~route_family() = default;
    virtual std::vector<route> routes() = 0;
};

}  // namespace cranberrydock::entry
