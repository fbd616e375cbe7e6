// Calls plain HTTP runners.
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/platform/delayed_calls.hpp>
#include <cranberrydock/platform/runner_client.hpp>

#include "http_status.hpp"

#include <map>
#include <utility>

namespace cranberrydock::platform {
namespace {

tl::unexpected<runner_failure> failure(runner_error error, std::string detail) {
    return tl::unexpected(runner_failure{error, std::move(detail)});
}

// Accepts an answer only if its digest matches; otherwise the answer may be incomplete.
runner_result checked_answer(const net::http_response& response) {
    const std::string digest = response.header(runner_digest_header);
    const std::string computed = base::sha256_hex(response.body);
    if (digest != computed) {
        return failure(runner_error::answer_lost,
                       std::string("expected ") + runner_digest_header + " to be " + computed +
                           " for the " + std::to_string(response.body.size()) +
                           " bytes received, found " + (digest.empty() ? "none" : digest));
    }
    return runner_answer{response.body, digest};
}

runner_result result_of(const net::http_result& result) {
    if (!result) {
        const bool not_sent = result.error().failure == net::http_failure::not_sent;
        return failure(not_sent ? runner_error::not_sent : runner_error::answer_lost,
                       result.error().detail);
    }
    if (result->status == detail::status_ok) {
        return checked_answer(*result);
    }
    if (result->status == detail::status_unavailable) {
        return failure(runner_error::refused, result->body);
    }
    if (result->status == detail::status_unprocessable) {
        return failure(runner_error::failed, result->body);
    }
    const std::string text = "status " + std::to_string(result->status) + ": " + result->body;
    return failure(detail::refused_unprocessed(result->status) ? runner_error::not_sent
                                                               : runner_error::answer_lost,
                   text);
}

class http_runner_client final : public runner_client {
public:
    http_runner_client(net::event_loop& loop, net::http_client& client, std::size_t max_calls)
        : client_(client), max_calls_(max_calls), delayed_calls_(loop) {}

    void run(const net::endpoint& runner, runner_request request, base::milliseconds timeout,
             runner_callback done) override {
        auto& in_flight = (*in_flight_)[runner];
        if (in_flight >= max_calls_) {
            delayed_calls_.after(base::duration{0}, [done = std::move(done), n = max_calls_] {
                done(failure(runner_error::not_sent,
                             "all " + std::to_string(n) + " calls to the runner are in use"));
            });
            return;
        }
        ++in_flight;
        net::http_request call{
            net::http_method::post, runner_path, "", {}, std::move(request.body)};
        call.headers = {{runner_id_header, request.id.str()},
                        {runner_repeatable_header, request.repeatable ? "true" : "false"}};
        client_.send(
            runner, std::move(call), timeout,
            [in_flight = in_flight_, runner, done = std::move(done)](const net::http_result& it) {
                --(*in_flight)[runner];
                done(result_of(it));
            });
    }

private:
    net::http_client& client_;
    std::size_t max_calls_;
    // The number of calls in progress per runner. Shared with their callbacks, which may outlive
    // this object.
    std::shared_ptr<std::map<net::endpoint, std::size_t>> in_flight_ =
        std::make_shared<std::map<net::endpoint, std::size_t>>();
    delayed_calls delayed_calls_;
};

}  // namespace

std::string to_string(runner_error error) {
    switch (error) {
        case runner_error::not_sent:
            return "not_sent";
        case runner_error::refused:
            return "refused";
        case runner_error::failed:
            return "failed";
        case runner_error::answer_lost:
            return "answer_lost";
    }
    return "answer_lost";
}

std::unique_ptr<runner_client> make_http_runner_client(net::event_loop& loop,
                                                       net::http_client& client,
                                                       std::size_t max_calls) {
    return std::make_unique<http_runner_client>(loop, client, max_calls);
}

}  // namespace cranberrydock::platform
