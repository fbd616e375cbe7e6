// An HTTP client, based on libevent's evhttp. Every request has a deadline. An error states whether
// the request may have reached the server, since only a request that was certainly not sent may be
// reported as "not run".
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cranberrydock::net {

enum class http_failure {
    not_sent,     // the connection was never established: the server has received nothing
    answer_lost,  // the connection broke, or the deadline passed, when sending may have begun
};

struct http_error {
    http_failure failure = http_failure::answer_lost;
    std::string detail;
};

using http_result = tl::expected<http_response, http_error>;
using http_callback = std::function<void(http_result)>;

class http_client {
public:
    virtual ~http_client() = default;

    // Sends `request` to `destination` and calls `done` once, on the client's loop and never before
    // send() returns. `done` is called within `timeout`, or within three times `timeout` while a
    // response is being received.
    virtual void send(const endpoint& destination, http_request request, base::milliseconds timeout,
                      http_callback done) = 0;
};

// The client keeps up to `max_idle_per_endpoint` connections per endpoint for reuse. It closes
// connections that have been idle for `max_idle_time`, because a middlebox on the path may have
// dropped its state for them. If a reused connection breaks before a response arrives, the error is
// answer_lost.
struct http_client_limits {
    std::size_t max_idle_per_endpoint = 4;
    base::milliseconds max_idle_time{2'000};
    // Processes input on the client's connections before all other events of the loop. libevent
    // reads 4 KiB per iteration, so a large response takes hundreds of iterations.
    bool prioritize_reads = false;
};

// Use and destroy the client on `loop`'s thread. Requests that are pending when it is destroyed are
// cancelled without a callback.
std::unique_ptr<http_client> make_http_client(event_loop& loop, const http_client_limits& limits);

}  // namespace cranberrydock::net
