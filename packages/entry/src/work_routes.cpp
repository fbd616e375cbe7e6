// The routes by which callers submit, query, cancel and list work.
#include "work_routes.hpp"

#include <cranberrydock/entry/problem.hpp>

#include "api_json.hpp"
#include "authorize.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cranberrydock::entry {
namespace {

constexpr int ok = 200;
constexpr std::size_t default_page_size = 50;
constexpr std::size_t max_page_size = 500;

std::size_t page_size(const std::string& text) {
    std::size_t n = default_page_size;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return std::clamp<std::size_t>(n, 1, max_page_size);
}

}  // namespace

std::vector<route> work_routes::routes() {
    using net::http_method;
    return {
        {http_method::post, "/v1/requests",
         [this](routed_request request, net::http_responder respond) {
             path_.run(std::move(request.http), false, std::move(respond));
         }},
        {http_method::post, "/v1/jobs",
         [this](routed_request request, net::http_responder respond) {
             path_.run(std::move(request.http), true, std::move(respond));
         }},
        {http_method::get, "/v1/jobs",
         [this](const routed_request& request, const net::http_responder& respond) {
             list(request, respond);
         }},
        {http_method::get, "/v1/jobs/{name}",
         [this](const routed_request& request, const net::http_responder& respond) {
             ask(request, respond, false);
         }},
        {http_method::get, "/v1/explain/{name}",
         [this](const routed_request& request, const net::http_responder& respond) {
             explain(request, respond);
         }},
        {http_method::del, "/v1/jobs/{name}",
         [this](const routed_request& request, const net::http_responder& respond) {
             ask(request, respond, true);
         }},
    };
}

void work_routes::ask(const routed_request& request, const net::http_responder& respond,
                      bool cancel) {
    const auto team = team_of(dependencies_.configuration, request.http);
    if (!team) {
        respond(problem(team.error().cause));
        return;
    }
    dependencies_.router.query_job(
        {*team, base::job_id(request.name), cancel},
        [respond](const tl::expected<base::job_view, base::refusal>& found) {
            respond(found ? net::json_response(ok, job_json(*found)) : problem(found.error()));
        });
}

void work_routes::explain(const routed_request& request, const net::http_responder& respond) {
    const auto team = team_of(dependencies_.configuration, request.http);
    if (!team) {
        respond(problem(team.error().cause));
        return;
    }
    const base::job_id job(request.name);
    dependencies_.router.query_job(
        {*team, job, false},
        [this, job, respond](const tl::expected<base::job_view, base::refusal>& found) {
            respond(found ? net::json_response(
                                ok, explain_json(*found, dependencies_.router.explain(job)))
                          : problem(found.error()));
        });
}

void work_routes::list(const routed_request& request, const net::http_responder& respond) {
    const auto team = team_of(dependencies_.configuration, request.http);
    if (!team) {
        respond(problem(team.error().cause));
        return;
    }
    dependencies_.router.list({*team, base::job_id(request.http.parameter("after")),
                               page_size(request.http.parameter("limit"))},
                              [respond](const std::vector<base::job_view>& jobs) {
                                  respond(net::json_response(ok, jobs_json(jobs)));
                              });
}

}  // namespace cranberrydock::entry
