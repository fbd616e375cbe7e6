// An HTTP server, based on libevent's evhttp.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <functional>
#include <memory>

namespace cranberrydock::net {

// Sends the response to one request. Call it once, on the server's loop; it may be called after
// handle() has returned and after the server was destroyed. The response is dropped if the client
// has disconnected or the server no longer exists.
using http_responder = std::function<void(http_response)>;

// Handles the requests of a server. handle() is called on the server's loop, once for each request.
class http_handler {
public:
    virtual ~http_handler() = default;
    virtual void handle(http_request request, http_responder respond) = 0;
};

struct http_server_limits {
    base::byte_count max_body{8 * 1024 * 1024};
    base::byte_count max_headers{16 * 1024};
    base::seconds idle_timeout{30};  // closes a connection if nothing is received for this long
};

class http_server {
public:
    // Listens on `listen`; port 0 selects a free port. Throws std::runtime_error if the address
    // can't be bound. `loop` and `handler` must outlive the server.
    http_server(event_loop& loop, const endpoint& listen, const http_server_limits& limits,
                http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // The address and the actual port.
    endpoint listen_endpoint() const;

    // The number of requests that were passed to the handler and have no response yet.
    std::size_t open_requests() const;

    // Accepts no further connections. Open requests are still answered.
    void stop_accepting();

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::net
