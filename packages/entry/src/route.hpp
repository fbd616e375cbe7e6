// Routes of the HTTP interface: each has a method and a path pattern, which may contain one name.
#pragma once

#include <cranberrydock/net/http_server.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::entry {

// A request with the variable part of its path.
struct routed_request {
    net::http_request http;
    std::string name;  // decoded; empty if the route's pattern has no {name}
};

struct route {
    net::http_method method = net::http_method::get;
    // For example "/v1/jobs", "/v1/jobs/{name}" or "/v1/vms/{name}/drain".
    std::string pattern;
    std::function<void(routed_request, net::http_responder)> handle;
};

// A group of related routes. The returned routes refer to the family, which must outlive them.
class route_family {
public:
    virtual ~route_family() = default;
    virtual std::vector<route> routes() = 0;
};

}  // namespace cranberrydock::entry
