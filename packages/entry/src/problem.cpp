// Converts refusals to problem documents.
#include <cranberrydock/entry/problem.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace cranberrydock::entry {
namespace {

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int content_too_large = 413;
constexpr int unprocessable = 422;
constexpr int too_many_requests = 429;
constexpr int internal_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

}  // namespace

int status_of(base::refusal_reason reason) {
    using base::refusal_reason;
    switch (reason) {
        case refusal_reason::malformed_request:
        case refusal_reason::idempotency_key_missing:
            return bad_request;
        case refusal_reason::body_too_large:
            return content_too_large;
        case refusal_reason::unknown_route:
        case refusal_reason::unknown_team:
        case refusal_reason::unknown_queue:
        case refusal_reason::unknown_job:
            return not_found;
        case refusal_reason::idempotency_key_reused:
        case refusal_reason::configuration_conflict:
        case refusal_reason::cancelled:
            return conflict;
        case refusal_reason::key_missing:
        case refusal_reason::key_unknown:
        case refusal_reason::key_withdrawn:
            return unauthorized;
        case refusal_reason::key_not_for_queue:
        case refusal_reason::not_an_operator:
        case refusal_reason::upper_limit_zero:
            return forbidden;
        case refusal_reason::can_never_fit:
        case refusal_reason::configuration_invalid:
            return unprocessable;
        case refusal_reason::queue_full:
        case refusal_reason::overloaded:
        case refusal_reason::retry_budget_spent:
            return too_many_requests;
        case refusal_reason::deadline_unreachable:
        case refusal_reason::deadline_passed:
            return gateway_timeout;
        case refusal_reason::attempts_exhausted:
        case refusal_reason::outcome_unknown:
            return bad_gateway;
        case refusal_reason::configuration_not_fresh:
        case refusal_reason::store_unavailable:
        case refusal_reason::cell_without_owner:
        case refusal_reason::owner_unreachable:
        case refusal_reason::shutting_down:
            return unavailable;
        case refusal_reason::internal:
            return internal_error;
    }
    return internal_error;
}

net::http_response problem(const base::refusal& cause, const base::findings& findings) {
    const std::string reason(to_string(cause.reason));
    const int status = status_of(cause.reason);
    nlohmann::json body = {{"type", "urn:cranberrydock:refusal:" + reason},
                           {"title", reason},
                           {"status", status},
                           {"reason", reason},
                           {"not_run", cause.not_run},
                           {"detail", cause.detail}};
    if (!findings.empty()) {
        body["findings"] = nlohmann::json::array();
        for (const auto& it : findings.list()) {
            body["findings"].push_back({{"place", it.place},
                                        {"expected", it.expected},
                                        {"found", it.found},
                                        {"advice", it.advice}});
        }
    }
    constexpr auto replace = nlohmann::json::error_handler_t::replace;
    net::http_response out{
        status, {{"Content-Type", "application/problem+json"}}, body.dump(-1, ' ', false, replace)};
    if (cause.retry_after.count() > 0) {
        constexpr std::int64_t milliseconds_per_second = 1'000;
        const auto seconds =
            (cause.retry_after.count() + milliseconds_per_second - 1) / milliseconds_per_second;
        out.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return out;
}

}  // namespace cranberrydock::entry
