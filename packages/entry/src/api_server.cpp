// Matches requests to routes and limits the number of open requests.
#include <cranberrydock/entry/api_server.hpp>
#include <cranberrydock/entry/problem.hpp>

#include "cluster_routes.hpp"
#include "config_routes.hpp"
#include "health_routes.hpp"
#include "route.hpp"
#include "work_routes.hpp"

#include <event2/http.h>

#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::entry {
namespace {

constexpr const char* name_placeholder = "{name}";
constexpr base::milliseconds retry_soon{1'000};

std::string decode_uri_part(const std::string& part) {
    std::size_t n = 0;
    char* const text = evhttp_uridecode(part.c_str(), 0, &n);
    std::string out(text == nullptr ? "" : std::string(text, n));
    std::free(text);  // NOLINT(cppcoreguidelines-no-malloc): libevent returns malloc'ed memory
    return out;
}

// Returns the decoded part of `path` that matches the placeholder in `pattern`, or an empty string
// if the pattern has no placeholder. Returns nullopt if the path doesn't match.
std::optional<std::string> match(const std::string& pattern, const std::string& path) {
    const std::size_t begin = pattern.find(name_placeholder);
    if (begin == std::string::npos) {
        return pattern == path ? std::optional<std::string>("") : std::nullopt;
    }
    const std::string prefix = pattern.substr(0, begin);
    const std::string suffix = pattern.substr(begin + std::string(name_placeholder).size());
    const bool long_enough = path.size() > prefix.size() + suffix.size();
    if (!long_enough || path.compare(0, prefix.size(), prefix) != 0 ||
        path.compare(path.size() - suffix.size(), suffix.size(), suffix) != 0) {
        return std::nullopt;
    }
    const std::string name =
        path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    return name.find('/') == std::string::npos ? std::optional(decode_uri_part(name))
                                               : std::nullopt;
}

}  // namespace

class api_server::state {
public:
    explicit state(const api_dependencies& dependencies)
        : max_open_(dependencies.max_open_requests), metrics_(dependencies.metrics) {
        families_.push_back(std::make_unique<work_routes>(dependencies));
        families_.push_back(std::make_unique<config_routes>(dependencies));
        families_.push_back(std::make_unique<cluster_routes>(dependencies));
        families_.push_back(std::make_unique<health_routes>(dependencies));
        for (const auto& it : families_) {
            auto family_routes = it->routes();
            routes_.insert(routes_.end(), std::make_move_iterator(family_routes.begin()),
                           std::make_move_iterator(family_routes.end()));
        }
    }

    void handle(net::http_request request, net::http_responder respond) {
        if (*open_ >= max_open_) {
            refuse({base::refusal_reason::overloaded, true, retry_soon,
                    "this daemon has reached its limit of open requests"},
                   respond);
            return;
        }
        for (const auto& it : routes_) {
            const auto name = match(it.pattern, request.path);
            if (name && it.method == request.method) {
                it.handle({std::move(request), *name}, count_while_open(std::move(respond)));
                return;
            }
        }
        refuse({base::refusal_reason::unknown_route, true, base::milliseconds{0},
                "expected a method and path of docs/API.md, found " + to_string(request.method) +
                    " " + request.path},
               respond);
    }

    std::size_t open_requests() const { return *open_; }

private:
    void refuse(const base::refusal& cause, const net::http_responder& respond) {
        const std::string reason(to_string(cause.reason));
        metrics_.count("cranberrydock_refusals_total", "reason=\"" + reason + "\"");
        respond(problem(cause));
    }

    net::http_responder count_while_open(net::http_responder respond) {
        ++*open_;
        return [open = open_, respond = std::move(respond)](net::http_response response) {
            --*open;
            respond(std::move(response));
        };
    }

    std::size_t max_open_;
    base::metrics& metrics_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
    std::vector<std::unique_ptr<route_family>> families_;
    std::vector<route> routes_;
};

api_server::api_server(const api_dependencies& dependencies)
    : state_(std::make_unique<state>(dependencies)) {}

api_server::~api_server() = default;

void api_server::handle(net::http_request request, net::http_responder respond) {
    state_->handle(std::move(request), std::move(respond));
}

std::size_t api_server::open_requests() const {
    return state_->open_requests();
}

}  // namespace cranberrydock::entry
