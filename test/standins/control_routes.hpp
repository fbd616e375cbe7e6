// Helpers of the stand-ins' HTTP servers: routes by method and path, and problem responses with the
// cause of the error.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>

namespace cranberrydock::standins {

// Calls the action of the request's method and path; responds with 404 if there is none. An action
// throws bad_request if its request is malformed; the response then has status 400.
class route_table final : public net::http_handler {
public:
    using action = std::function<void(const net::http_request&, net::http_responder)>;

    void add(net::http_method method, const std::string& path, action run);
    void handle(net::http_request request, net::http_responder respond) override;

private:
    std::map<std::string, action> actions_;  // by "METHOD PATH"
};

class bad_request : public std::exception {
public:
    explicit bad_request(std::string message) : message_(std::move(message)) {}
    const char* what() const noexcept override { return message_.c_str(); }

private:
    std::string message_;
};

// Returns the value of `decoded`. Throws bad_request with the findings if it has none.
template <typename Expected>
auto value_or_bad_request(Expected decoded) {
    if (!decoded) {
        throw bad_request(decoded.error().text());
    }
    return std::move(*decoded);
}

// Returns the body as a JSON object. Throws bad_request if it is not one.
nlohmann::json json_body(const net::http_request& request);

}  // namespace cranberrydock::standins
