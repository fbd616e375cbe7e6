// The HTTP server, on evhttp.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <functional>
#include <memory>

namespace cranberrydock::net {

// Sends the response to the request that it came with. Call it once, on the server's loop; when the
// caller has gone meanwhile, the response is dropped.
using http_responder = std::function<void(http_response)>;

class http_handler {
public:
    virtual ~http_handler() = default;
    virtual void handle(http_request request, http_responder respond) = 0;
};

struct http_server_limits {
    base::byte_count max_body{8 * 1024 * 1024};
    base::byte_count max_headers{16 * 1024};
    base::seconds idle_timeout{30};  // a sender that is silent for so long is cut off
};

class http_server {
public:
    // Listens on `listen`; port 0 takes a free one. Throws std::runtime_error when it can't.
    http_server(event_loop& loop, const endpoint& listen, const http_server_limits& limits,
                http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    endpoint listening_on() const;

    // Requests that were handed to the handler and not answered yet.
    std::size_t open_requests() const;

    // Takes no further connections; open requests go on.
    void stop_accepting();

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::net
