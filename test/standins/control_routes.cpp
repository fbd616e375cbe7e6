// Dispatches the requests to the stand-ins' HTTP servers.
#include "control_routes.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace cranberrydock::standins {
namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

std::string problem(const std::string& detail) {
    return nlohmann::json{{"detail", detail}}.dump(-1, ' ', false,
                                                   nlohmann::json::error_handler_t::replace);
}

}  // namespace

void route_table::add(net::http_method method, const std::string& path, action run) {
    actions_[net::to_string(method) + " " + path] = std::move(run);
}

void route_table::handle(net::http_request request, net::http_responder respond) {
    const std::string name = net::to_string(request.method) + " " + request.path;
    const auto it = actions_.find(name);
    if (it == actions_.end()) {
        respond(net::json_response(status_not_found, problem("no such route: " + name)));
        return;
    }
    try {
        it->second(request, respond);
    } catch (const bad_request& error) {
        respond(net::json_response(status_bad_request, problem(error.what())));
    } catch (const nlohmann::json::exception& error) {
        respond(net::json_response(status_bad_request, problem(error.what())));
    }
}

nlohmann::json json_body(const net::http_request& request) {
    auto out = nlohmann::json::parse(request.body, nullptr, false);
    if (!out.is_object()) {
        throw bad_request("expected a JSON object, found a malformed body of " +
                          std::to_string(request.body.size()) + " bytes");
    }
    return out;
}

}  // namespace cranberrydock::standins
