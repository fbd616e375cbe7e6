// Reads and writes through a libevent bufferevent.
#include "stream_socket.hpp"

#include "socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>

namespace cranberrydock::mesh::detail {
namespace {

// Callbacks are deferred, so that an immediate connect failure is reported from the event loop like
// every other event.
constexpr int options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

// Frames are small and written in one piece, so Nagle's algorithm would only delay heartbeats.
void disable_nagle(evutil_socket_t fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

stream_socket::stream_socket(net::event_loop& loop, const net::endpoint& remote,
                             stream_events& events)
    : bev_(bufferevent_socket_new(loop.raw(), -1, options)), events_(&events) {
    bufferevent_setcb(bev_, &stream_socket::on_readable, nullptr, &stream_socket::on_event, this);
    sockaddr_in address = to_socket_address(remote);
    // An immediate failure (unsupported address family, no free descriptor) is not reported: the
    // owner has a deadline for the connection.
    bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

stream_socket::stream_socket(net::event_loop& loop, int accepted_fd, stream_events& events)
    : bev_(bufferevent_socket_new(loop.raw(), accepted_fd, options)), events_(&events) {
    disable_nagle(accepted_fd);
    bufferevent_setcb(bev_, &stream_socket::on_readable, nullptr, &stream_socket::on_event, this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

stream_socket::~stream_socket() {
    bufferevent_free(bev_);
}

void stream_socket::write(const char* data, std::size_t n) {
    bufferevent_write(bev_, data, n);
}

std::size_t stream_socket::unsent() const {
    return evbuffer_get_length(bufferevent_get_output(bev_));
}

void stream_socket::set_reading(bool on) {
    if (on) {
        bufferevent_enable(bev_, EV_READ);
    } else {
        bufferevent_disable(bev_, EV_READ);
    }
}

void stream_socket::on_readable(bufferevent* bev, void* self) {
    auto* socket = static_cast<stream_socket*>(self);
    evbuffer* const in = bufferevent_get_input(bev);
    while (socket->events_ != nullptr) {
        const std::size_t n = evbuffer_get_contiguous_space(in);
        if (n == 0) {
            return;
        }
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(n)));
        socket->events_->on_bytes(data, n);
        evbuffer_drain(in, n);
    }
}

void stream_socket::on_event(bufferevent* bev, short flags, void* self) {
    auto* socket = static_cast<stream_socket*>(self);
    if (socket->events_ == nullptr) {
        return;
    }
    if ((flags & BEV_EVENT_CONNECTED) != 0) {
        disable_nagle(bufferevent_getfd(bev));
        socket->events_->on_connected();
        return;
    }
    if ((flags & BEV_EVENT_EOF) != 0) {
        socket->events_->on_stream_ended("closed by the other end");
        return;
    }
    socket->events_->on_stream_ended(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

}  // namespace cranberrydock::mesh::detail
