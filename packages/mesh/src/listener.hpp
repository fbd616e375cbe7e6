// The listening socket of the mesh port.
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

struct evconnlistener;
struct sockaddr;

namespace cranberrydock::mesh::detail {

// Callbacks of a listener, made on the event loop's thread.
class listener_events {
public:
    virtual ~listener_events() = default;
    // The callee takes ownership of the socket.
    virtual void on_accepted(int socket) = 0;
};

class listener {
public:
    // Port 0 selects a free port. Throws std::runtime_error when it cannot listen.
    listener(net::event_loop& loop, const net::endpoint& requested, listener_events& events);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    const net::endpoint& listen_endpoint() const { return bound_; }

private:
    static void on_accept(evconnlistener* raw, int socket, sockaddr* from, int n, void* self);

    net::endpoint bound_;
    listener_events& events_;
    evconnlistener* raw_;
};

}  // namespace cranberrydock::mesh::detail
