// Helpers of the stand-ins' HTTP servers: routes by method and path, and problem answers that say
// what was wrong.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>

namespace cranberrydock::standins {

// Calls the action of the request's method and path; 404 when there is none. An action whose
// request is malformed throws bad_request.
class route_table final : public net::http_handler {
public:
    using action = std::function<void(const net::http_request&, net::http_responder)>;

    void add(net::http_method method, const std::string& path, action what);
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

// The value, or bad_request with the findings.
template <typename Expected>
auto value_of(Expected read) {
    if (!read) {
        throw bad_request(read.error().text());
    }
    return std::move(*read);
}

// The body as a JSON object, or bad_request.
nlohmann::json json_body(const net::http_request& request);

}  // namespace cranberrydock::standins
