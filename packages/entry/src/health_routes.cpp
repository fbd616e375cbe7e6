// The routes of load balancers and monitoring.
#include "health_routes.hpp"

namespace cranberrydock::entry {
namespace {

constexpr int ok = 200;
constexpr int unavailable = 503;

}  // namespace

std::vector<route> health_routes::routes() {
    using net::http_method;
    return {
        {http_method::get, "/metrics",
         [this](const routed_request& /*request*/, const net::http_responder& respond) {
             respond({ok,
                      {{"Content-Type", "text/plain; version=0.0.4"}},
                      dependencies_.metrics.text()});
         }},
        {http_method::get, "/healthz",
         [](const routed_request& /*request*/, const net::http_responder& respond) {
             respond({ok, {{"Content-Type", "text/plain"}}, "ok\n"});
         }},
        {http_method::get, "/readyz",
         [this](const routed_request& /*request*/, const net::http_responder& respond) {
             const bool ready = dependencies_.cluster.ready();
             respond({ready ? ok : unavailable,
                      {{"Content-Type", "text/plain"}},
                      ready ? "ready\n" : "not ready\n"});
         }},
    };
}

}  // namespace cranberrydock::entry
