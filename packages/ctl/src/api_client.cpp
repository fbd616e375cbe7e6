// Calls of the HTTP API over net::http_client.
#include "api_client.hpp"

#include <cranberrydock/base/digest.hpp>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>

namespace cranberrydock::ctl {
namespace {

constexpr base::milliseconds progress_period{2'000};
constexpr int service_unavailable = 503;
constexpr std::size_t trace_bytes = 16;
constexpr std::size_t span_bytes = 8;

// A W3C trace context header for a new, sampled trace.
std::string new_traceparent() {
    return "00-" + base::random_hex(trace_bytes) + "-" + base::random_hex(span_bytes) + "-01";
}

// Whether another entry may be able to serve the request: this daemon is stopping, is cut off
// from the cluster, or has found no owner.
bool may_succeed_elsewhere(const net::http_response& response) {
    if (response.status != service_unavailable) {
        return false;
    }
    const auto problem = nlohmann::json::parse(response.body, nullptr, false);
    return problem.is_object() && problem.value("not_run", false);
}

}  // namespace

std::string url_encode(const std::string& name) {
    char* const text = evhttp_uriencode(name.c_str(), static_cast<ev_ssize_t>(name.size()), 0);
    std::string out = text == nullptr ? "" : text;
    std::free(text);  // NOLINT(cppcoreguidelines-no-malloc): libevent hands over malloc'ed memory
    return out;
}

api_client::api_client(connection_options connection)
    : connection_(std::move(connection)), client_(net::make_http_client(loop_, {})) {}

api_result api_client::call(const api_request& request) {
    call_failure failure;
    std::optional<net::http_response> refused;
    for (const auto& it : connection_.entries) {
        auto answer = call_entry(it, request);
        if (answer) {
            if (!may_succeed_elsewhere(*answer)) {
                return *std::move(answer);
            }
            refused = *std::move(answer);
            continue;
        }
        failure.text += it.text() + ": " + answer.error().detail + "\n";
        const bool lost = answer.error().failure == net::http_failure::answer_lost;
        if (lost && request.method != net::http_method::get) {
            failure.code = exit_code::outcome_unknown;
        }
        if (lost && !request.repeatable) {
            return tl::unexpected(std::move(failure));
        }
    }
    // The request may have taken effect at an entry whose answer was lost, although another entry
    // has refused it.
    if (refused && failure.code != exit_code::outcome_unknown) {
        return *std::move(refused);
    }
    return tl::unexpected(std::move(failure));
}

net::http_result api_client::call_entry(const net::endpoint& entry, const api_request& request) {
    net::http_request http{request.method, request.path, request.query, request.headers,
                           request.body};
    if (!connection_.key.empty()) {
        http.headers.push_back({"Authorization", "Bearer " + connection_.key});
    }
    http.headers.push_back({"traceparent", new_traceparent()});
    int waited_ms = 0;
    const auto progress = loop_.every(progress_period, [&] {
        waited_ms += static_cast<int>(progress_period.count());
        std::fprintf(stderr, "waiting for %s, %d ms\n", entry.text().c_str(), waited_ms);
    });
    std::optional<net::http_result> answer;
    client_->send(entry, std::move(http), connection_.timeout, [&](net::http_result result) {
        answer = std::move(result);
        loop_.stop();
    });
    loop_.run();
    return *std::move(answer);
}

void api_client::pause(base::milliseconds time) {
    const auto timer = loop_.after(time, [this] { loop_.stop(); });
    loop_.run();
}

}  // namespace cranberrydock::ctl
