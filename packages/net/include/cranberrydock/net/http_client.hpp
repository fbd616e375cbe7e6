// The HTTP client, on evhttp. Every call has a deadline, and a failure says whether the request may
// have reached the other end, since only what was surely not sent may be called "not run".
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
    not_sent,     // the connection was never made: the other end has seen nothing
    answer_lost,  // the connection broke, or the deadline passed, after sending may have begun
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

    // Sends `request` to `to` and calls `done` once, on the client's loop, within `timeout`; while
    // an answer is coming in, within three times that.
    virtual void send(const endpoint& to, http_request request, base::milliseconds timeout,
                      http_callback done) = 0;
};

// Keeps up to `max_idle_per_endpoint` connections an endpoint for reuse and drops those that were
// idle for `max_idle_time`: something between the ends may have lost track of an older one. A
// reused connection that breaks before any answer gives answer_lost.
struct http_client_limits {
    std::size_t max_idle_per_endpoint = 4;
    base::milliseconds max_idle_time{2'000};
    // What comes on its connections is read before anything else that the loop has to do. libevent
    // reads 4 KiB a turn, so a large answer takes hundreds of turns.
    bool read_first = false;
};

// Use and destroy on `loop`'s thread.
std::unique_ptr<http_client> make_http_client(event_loop& loop, const http_client_limits& limits);

}  // namespace cranberrydock::net
