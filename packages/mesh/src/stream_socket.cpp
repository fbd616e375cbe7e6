// Bufferevents: bytes in as they come, bytes out through libevent's buffer.
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

// Deferred: a connect that fails at once is told from the loop, like every other event.
constexpr int options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

// Frames are small and written whole: waiting to join them would only delay heartbeats.
void send_without_delay(evutil_socket_t fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

stream_socket::stream_socket(net::event_loop& loop, const net::endpoint& to, stream_events& events)
    : bev_(bufferevent_socket_new(loop.raw(), -1, options)), events_(&events) {
    bufferevent_setcb(bev_, &stream_socket::on_readable, nullptr, &stream_socket::on_event, this);
    sockaddr_in address = to_socket_address(to);
    // What fails at once (no such family, no free descriptor) is told to nobody here: whoever dials
    // has a deadline.
    bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

stream_socket::stream_socket(net::event_loop& loop, int accepted, stream_events& events)
    : bev_(bufferevent_socket_new(loop.raw(), accepted, options)), events_(&events) {
    send_without_delay(accepted);
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

void stream_socket::on_event(bufferevent* bev, short what, void* self) {
    auto* socket = static_cast<stream_socket*>(self);
    if (socket->events_ == nullptr) {
        return;
    }
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        send_without_delay(bufferevent_getfd(bev));
        socket->events_->on_connected();
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        socket->events_->on_stream_ended("closed by the other end");
        return;
    }
    socket->events_->on_stream_ended(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

}  // namespace cranberrydock::mesh::detail
