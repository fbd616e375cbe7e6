// The way of a caller's request through the entry.
#include <cranberrydock/entry/problem.hpp>
#include <cranberrydock/entry/request_path.hpp>

#include "api_json.hpp"
#include "stage_admit.hpp"
#include "stage_authenticate.hpp"
#include "stage_identify.hpp"
#include "stage_parse.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::entry {
namespace {

constexpr int ok = 200;
constexpr int accepted = 202;

// The stages in their order. Routing and the reply follow them.
std::vector<std::unique_ptr<stage>> make_stages(const configuration_source& configuration) {
    std::vector<std::unique_ptr<stage>> out;
    out.push_back(std::make_unique<parse_stage>());
    out.push_back(std::make_unique<authenticate_stage>(configuration));
    out.push_back(std::make_unique<admit_stage>());
    out.push_back(std::make_unique<identify_stage>());
    return out;
}

// Turns an outcome into the reply.
class reply_writer {
public:
    explicit reply_writer(const base::work& what) : what_(what) {}

    net::http_response operator()(const base::work_accepted& /*outcome*/) const {
        return net::json_response(accepted, accepted_json(what_));
    }
    net::http_response operator()(const base::work_answered& outcome) const {
        return net::json_response(ok, answered_json(what_, outcome));
    }
    net::http_response operator()(const base::refusal& why) const { return problem(why); }

private:
    const base::work& what_;
};

}  // namespace

class request_path::state {
public:
    state(const configuration_source& configuration, work_router& router, base::metrics& metrics,
          const base::clock& clock)
        : stages_(make_stages(configuration)), router_(router), metrics_(metrics), clock_(clock) {}

    void run(net::http_request request, bool job, net::http_responder respond) {
        request_state passing;
        passing.http = std::move(request);
        passing.job = job;
        passing.arrived = clock_.now();
        for (const auto& it : stages_) {
            const auto passed = run_stage(*it, passing);
            if (!passed) {
                refuse(passing, it->name(), passed.error(), respond);
                return;
            }
        }
        route(passing, std::move(respond));
    }

private:
    tl::expected<void, stage_refusal> run_stage(stage& one, request_state& passing) const {
        const base::time_point begin = clock_.now();
        auto out = one.run(passing);
        const base::duration took = clock_.now() - begin;
        passing.trace.push_back({one.name(), "entry", begin - passing.arrived, took, ""});
        spdlog::debug("event=stage stage={} request={} took_us={}", one.name(),
                      passing.what.id.str(), took.count());
        return out;
    }

    void refuse(const request_state& passing, const char* where, const stage_refusal& refused,
                const net::http_responder& respond) {
        const std::string reason(to_string(refused.why.reason));
        metrics_.count("cranberrydock_refusals_total", "reason=\"" + reason + "\"");
        spdlog::info("event=refused stage={} reason={} team={} queue={}", where, reason,
                     passing.what.team.str(), passing.what.queue.str());
        respond(problem(refused.why, refused.findings));
    }

    void route(const request_state& passing, net::http_responder respond) {
        const base::work what = passing.what;
        const base::time_point arrived = passing.arrived;
        router_.submit(what, [this, what, arrived,
                              respond = std::move(respond)](const routed_outcome& routed) {
            const base::duration took = clock_.now() - arrived;
            metrics_.observe("cranberrydock_request_seconds", "queue=\"" + what.queue.str() + "\"",
                             std::chrono::duration<double>(took).count());
            spdlog::info("event=answered request={} job={} team={} queue={} took_us={}",
                         what.id.str(), what.job.str(), what.team.str(), what.queue.str(),
                         took.count());
            net::http_response out = std::visit(reply_writer(what), routed.outcome);
            out.headers.push_back({"X-Request-Id", what.id.str()});
            out.headers.push_back({"X-Job-Id", what.job.str()});
            respond(std::move(out));
        });
    }

    std::vector<std::unique_ptr<stage>> stages_;
    work_router& router_;
    base::metrics& metrics_;
    const base::clock& clock_;
};

request_path::request_path(const configuration_source& configuration, work_router& router,
                           base::metrics& metrics, const base::clock& clock)
    : state_(std::make_unique<state>(configuration, router, metrics, clock)) {}

request_path::~request_path() = default;

void request_path::run(net::http_request request, bool job, net::http_responder respond) {
    state_->run(std::move(request), job, std::move(respond));
}

}  // namespace cranberrydock::entry
