// The listening socket of the mesh port.
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

struct evconnlistener;
struct sockaddr;

namespace cranberrydock::mesh::detail {

class listener_events {
public:
    virtual ~listener_events() = default;
    // The socket belongs to the callee.
    virtual void on_accepted(int socket) = 0;
};

class listener {
public:
    // Port 0 takes a free one. Throws std::runtime_error when it can't listen.
    listener(net::event_loop& loop, const net::endpoint& on, listener_events& events);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    const net::endpoint& listening_on() const { return on_; }

private:
    static void on_accept(evconnlistener* raw, int socket, sockaddr* from, int n, void* self);

    net::endpoint on_;
    listener_events& events_;
    evconnlistener* raw_;
};

}  // namespace cranberrydock::mesh::detail
