// Runs requests on plain HTTP runners: upstreams with a few slots and connections that support
// neither leases nor epochs. A request cannot be withdrawn after it was sent, so the caller must
// have fresh evidence that it still owns the runner.
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
    std::string digest;  // hexadecimal SHA-256 of `content`; computed by the runner, checked here
};

enum class runner_error {
    not_sent,     // the request did not reach the runner, or was refused before processing
    refused,      // the runner states that it did not run it: no capacity, or it is leaving
    failed,       // it ran and failed with an error of its own
    answer_lost,  // it may have run; no answer, or an incomplete one, arrived
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

    // Invokes `done` once within `timeout`, on the caller's loop and never from within run().
    virtual void run(const net::endpoint& runner, runner_request request,
                     base::milliseconds timeout, runner_callback done) = 0;
};

// Makes at most `max_calls` concurrent calls to one runner; further calls fail as not_sent. The
// idle connections of `client` are not counted. Must be used and destroyed on the loop's thread;
// `client` must outlive it.
std::unique_ptr<runner_client> make_http_runner_client(net::event_loop& loop,
                                                       net::http_client& client,
                                                       std::size_t max_calls);

}  // namespace cranberrydock::platform
