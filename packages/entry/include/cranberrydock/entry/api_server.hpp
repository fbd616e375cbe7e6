// The HTTP interface of a daemon (docs/API.md). Dispatches each request to the route that matches
// its method and path. Each family of routes has its own file.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/entry/daemon_interfaces.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <memory>

namespace cranberrydock::entry {

// The dependencies of the routes. All references must outlive the server.
struct api_dependencies {
    const configuration_source& configuration;
    configuration_editor& editor;
    work_router& router;
    cluster_view& cluster;
    base::metrics& metrics;
    const base::clock& clock;
    std::size_t max_open_requests = 10'000;
};

class api_server final : public net::http_handler {
public:
    // With `max_open_requests` open, further requests are refused as overloaded.
    explicit api_server(const api_dependencies& dependencies);
    ~api_server() override;
    api_server(const api_server&) = delete;
    api_server& operator=(const api_server&) = delete;

    void handle(net::http_request request, net::http_responder respond) override;

    // The number of requests that have a route and no response yet.
    std::size_t open_requests() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::entry
