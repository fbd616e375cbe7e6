// How a plain HTTP runner is asked to run something: an upstream with a few slots and connections,
// which knows neither leases nor epochs. Nothing that it was sent can be taken back, so whoever
// calls this must have fresh evidence that the runner is still its own to use.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cranberrydock::platform {

constexpr const char* runner_path = "/run";                       // POST
constexpr const char* runner_id_header = "X-Request-Id";          // the same for each attempt
constexpr const char* runner_repeatable_header = "X-Repeatable";  // "true" or "false"
constexpr const char* runner_digest_header = "X-Answer-Digest";   // hexadecimal SHA-256 of the body

struct runner_request {
    base::request_id id;
    bool repeatable = true;
    std::string body;
};

struct runner_answer {
    std::string content;
    std::string digest;  // hexadecimal SHA-256 of `content`, made by the runner and checked here
};

enum class runner_error {
    not_sent,     // the runner has not seen the request, or refused it unread
    refused,      // the runner says that it did not run it: no room, or it is leaving
    failed,       // it ran and failed by itself
    answer_lost,  // it may have run, or its answer did not come whole
};

std::string to_string(runner_error error);

struct runner_failure {
    runner_error error = runner_error::answer_lost;
    std::string detail;
};

using runner_result = tl::expected<runner_answer, runner_failure>;
using runner_callback = std::function<void(runner_result)>;

class runner_client {
public:
    virtual ~runner_client() = default;

    // Calls `done` once, on the caller's loop, never inside the call, within `timeout`.
    virtual void run(const net::endpoint& runner, runner_request request,
                     base::milliseconds timeout, runner_callback done) = 0;
};

// At most `max_calls` at the same time to one runner; one more gives not_sent. The connections that
// `client` keeps idle come on top. Use and destroy on the loop's thread; `client` must outlive it.
std::unique_ptr<runner_client> make_http_runner_client(net::event_loop& loop,
                                                       net::http_client& client,
                                                       std::size_t max_calls);

}  // namespace cranberrydock::platform
