// Listens with libevent.
#include "listener.hpp"

#include "socket_address.hpp"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>

namespace cranberrydock::mesh::detail {
namespace {

constexpr unsigned options = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
constexpr int system_backlog = -1;  // -1 lets libevent choose the backlog

}  // namespace

listener::listener(net::event_loop& loop, const net::endpoint& requested, listener_events& events)
    : bound_(requested), events_(events), raw_(nullptr) {
    sockaddr_in address = to_socket_address(requested);
    if (address.sin_family == AF_INET) {
        raw_ =
            evconnlistener_new_bind(loop.raw(), &listener::on_accept, this, options, system_backlog,
                                    reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
    if (raw_ == nullptr) {
        throw std::runtime_error("cannot listen on " + requested.text() +
                                 ": expected a free port on an IPv4 address of this machine");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(raw_), reinterpret_cast<sockaddr*>(&bound), &size);
    bound_.port = ntohs(bound.sin_port);
}

listener::~listener() {
    evconnlistener_free(raw_);
}

void listener::on_accept(evconnlistener* /*raw*/, int socket, sockaddr* /*from*/, int /*n*/,
                         void* self) {
    static_cast<listener*>(self)->events_.on_accepted(socket);
}

}  // namespace cranberrydock::mesh::detail
