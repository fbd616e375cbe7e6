// The routes by which operators read and patch the configuration.
#include "config_routes.hpp"

#include <cranberrydock/entry/problem.hpp>

#include "api_json.hpp"
#include "authorize.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace cranberrydock::entry {
namespace {

constexpr int ok = 200;
constexpr std::size_t max_versions_listed = 100;

// Returns -1 when the text is not a number.
base::config_version version_of(const std::string& text) {
    std::int64_t n = -1;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool is_complete = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return base::config_version(is_complete ? n : -1);
}

net::http_response invalid_version(const std::string& place, const std::string& found) {
    base::findings list;
    list.add({place, "the number of a configuration version", "\"" + found + "\"",
              "cranberryctl config history lists the versions"});
    return problem({base::refusal_reason::malformed_request, true, base::milliseconds{0},
                    "the version number is malformed or unknown"},
                   list);
}

net::http_response refused_patch(const patch_refusal& refused) {
    net::http_response out = problem(refused.cause, refused.findings);
    if (refused.cause.reason == base::refusal_reason::configuration_conflict) {
        auto body = nlohmann::json::parse(out.body);
        body["current"] = refused.current.value();
        out.body = body.dump();
    }
    return out;
}

}  // namespace

std::vector<route> config_routes::routes() {
    using net::http_method;
    const auto guarded = [this](void (config_routes::*member)(const routed_request&,
                                                              const net::http_responder&)) {
        return [this, member](const routed_request& request, const net::http_responder& respond) {
            if (require_operator(request.http, respond)) {
                (this->*member)(request, respond);
            }
        };
    };
    return {
        {http_method::get, "/v1/config", guarded(&config_routes::get)},
        {http_method::patch, "/v1/config", guarded(&config_routes::patch)},
        {http_method::get, "/v1/config/versions", guarded(&config_routes::list)},
        {http_method::get, "/v1/config/versions/{name}", guarded(&config_routes::show)},
        {http_method::get, "/v1/config/diff", guarded(&config_routes::compare)},
    };
}

bool config_routes::require_operator(const net::http_request& request,
                                     const net::http_responder& respond) {
    const auto operator_key = operator_of(dependencies_.configuration, request);
    if (!operator_key) {
        dependencies_.metrics.count(
            "cranberrydock_refusals_total",
            "reason=\"" + std::string(to_string(operator_key.error().cause.reason)) + "\"");
        respond(problem(operator_key.error().cause));
    }
    return operator_key.has_value();
}

void config_routes::get(const routed_request& /*request*/, const net::http_responder& respond) {
    respond(net::json_response(ok, newest_version_json(dependencies_.editor.newest())));
}

void config_routes::patch(const routed_request& request, const net::http_responder& respond) {
    const base::config_version base = version_of(request.http.parameter("base"));
    if (base.value() < 0) {
        respond(invalid_version("query parameter base", request.http.parameter("base")));
        return;
    }
    const auto author = operator_of(dependencies_.configuration, request.http);
    dependencies_.editor.patch(
        {base, request.http.body, author ? author->str() : ""},
        [respond](const tl::expected<base::config_version, patch_refusal>& result) {
            if (!result) {
                respond(refused_patch(result.error()));
                return;
            }
            const nlohmann::json body = {{"version", result->value()}};
            respond(net::json_response(ok, body.dump()));
        });
}

void config_routes::list(const routed_request& request, const net::http_responder& respond) {
    const std::string after = request.http.parameter("after");
    dependencies_.editor.list(
        after.empty() ? base::config_version(0) : version_of(after), max_versions_listed,
        [respond](const tl::expected<std::vector<version_document>, base::refusal>& found) {
            respond(found ? net::json_response(ok, versions_json(*found)) : problem(found.error()));
        });
}

void config_routes::with_version(base::config_version version, const net::http_responder& respond,
                                 std::function<void(const version_document&)> on_found) {
    dependencies_.editor.list(
        version - base::config_version(1), 1,
        [version, respond, on_found = std::move(on_found)](
            const tl::expected<std::vector<version_document>, base::refusal>& found) {
            if (!found) {
                respond(problem(found.error()));
                return;
            }
            if (found->empty() || found->front().version != version) {
                respond(invalid_version("version", std::to_string(version.value())));
                return;
            }
            on_found(found->front());
        });
}

void config_routes::show(const routed_request& request, const net::http_responder& respond) {
    with_version(version_of(request.name), respond, [respond](const version_document& found) {
        respond(net::json_response(ok, newest_version_json(found)));
    });
}

void config_routes::compare(const routed_request& request, const net::http_responder& respond) {
    const base::config_version from = version_of(request.http.parameter("from"));
    const base::config_version to = version_of(request.http.parameter("to"));
    with_version(from, respond, [this, to, respond](const version_document& earlier) {
        with_version(to, respond, [earlier, respond](const version_document& later) {
            respond(net::json_response(ok, config::difference(earlier.document, later.document)));
        });
    });
}

}  // namespace cranberrydock::entry
