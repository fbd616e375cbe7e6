// Runs the stages of a request, routes the work and writes the reply.
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

// The stages in their order. Routing and the reply follow the last stage.
std::vector<std::unique_ptr<stage>> make_stages(const configuration_source& configuration) {
    std::vector<std::unique_ptr<stage>> out;
    out.push_back(std::make_unique<parse_stage>());
    out.push_back(std::make_unique<authenticate_stage>(configuration));
    out.push_back(std::make_unique<admit_stage>());
    out.push_back(std::make_unique<identify_stage>());
    return out;
}

// Converts the outcome of the work to the HTTP response.
class reply_writer {
public:
    explicit reply_writer(const base::work& spec) : spec_(spec) {}

    net::http_response operator()(const base::work_accepted& /*outcome*/) const {
        return net::json_response(accepted, accepted_json(spec_));
    }
    net::http_response operator()(const base::work_answered& outcome) const {
        return net::json_response(ok, answered_json(spec_, outcome));
    }
    net::http_response operator()(const base::refusal& cause) const { return problem(cause); }

private:
    const base::work& spec_;
};

}  // namespace

class request_path::state {
public:
    state(const configuration_source& configuration, work_router& router, base::metrics& metrics,
          const base::clock& clock)
        : stages_(make_stages(configuration)), router_(router), metrics_(metrics), clock_(clock) {}

    void run(net::http_request request, bool job, net::http_responder respond) {
        request_state current;
        current.http = std::move(request);
        current.job = job;
        current.arrived = clock_.now();
        for (const auto& it : stages_) {
            const auto passed = run_stage(*it, current);
            if (!passed) {
                refuse(current, it->name(), passed.error(), respond);
                return;
            }
        }
        route(current, std::move(respond));
    }

private:
    tl::expected<void, stage_refusal> run_stage(stage& stage_to_run, request_state& current) const {
        const base::time_point begin = clock_.now();
        auto out = stage_to_run.run(current);
        const base::duration elapsed = clock_.now() - begin;
        current.trace.push_back(
            {stage_to_run.name(), "entry", begin - current.arrived, elapsed, ""});
        spdlog::debug("event=stage stage={} request={} took_us={}", stage_to_run.name(),
                      current.spec.id.str(), elapsed.count());
        return out;
    }

    void refuse(const request_state& current, const char* stage_name, const stage_refusal& refused,
                const net::http_responder& respond) {
        const std::string reason(to_string(refused.cause.reason));
        metrics_.count("cranberrydock_refusals_total", "reason=\"" + reason + "\"");
        spdlog::info("event=refused stage={} reason={} team={} queue={}", stage_name, reason,
                     current.spec.team.str(), current.spec.queue.str());
        respond(problem(refused.cause, refused.findings));
    }

    void route(const request_state& current, net::http_responder respond) {
        const base::work spec = current.spec;
        const base::time_point arrived = current.arrived;
        router_.submit(spec, [this, spec, arrived,
                              respond = std::move(respond)](const routed_outcome& routed) {
            const base::duration elapsed = clock_.now() - arrived;
            metrics_.observe("cranberrydock_request_seconds", "queue=\"" + spec.queue.str() + "\"",
                             std::chrono::duration<double>(elapsed).count());
            spdlog::info("event=answered request={} job={} team={} queue={} took_us={}",
                         spec.id.str(), spec.job.str(), spec.team.str(), spec.queue.str(),
                         elapsed.count());
            net::http_response out = std::visit(reply_writer(spec), routed.outcome);
            out.headers.push_back({"X-Request-Id", spec.id.str()});
            out.headers.push_back({"X-Job-Id", spec.job.str()});
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
