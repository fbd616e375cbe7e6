// One TCP connection through the relay.
#include "relay_connection.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::standins {
namespace {

// A sender that is faster than the other end waits beyond so many bytes.
constexpr std::size_t max_held = 4 * 1024 * 1024;

std::string drain(bufferevent* raw) {
    evbuffer* const buf = bufferevent_get_input(raw);
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, out.data(), out.size());
    return out;
}

sockaddr_in address_of(const net::endpoint& to) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &out.sin_addr);
    return out;
}

std::size_t unsent(bufferevent* raw) {
    return evbuffer_get_length(bufferevent_get_output(raw));
}

}  // namespace

void bufferevent_deleter::operator()(bufferevent* it) const {
    bufferevent_free(it);
}

relay_connection::relay_connection(net::event_loop& loop, const base::clock& clock,
                                   int accepted_socket, const net::endpoint& target,
                                   const relay_bandwidth& bandwidth, std::function<void()> closed)
    : loop_(loop),
      clock_(clock),
      closed_(std::move(closed)),
      client_(bufferevent_socket_new(loop.raw(), accepted_socket, BEV_OPT_CLOSE_ON_FREE)),
      target_(bufferevent_socket_new(loop.raw(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    there_.from = back_.to = client_.get();
    there_.to = back_.from = target_.get();
    if (bandwidth.there != nullptr) {
        bufferevent_add_to_rate_limit_group(client_.get(), bandwidth.there);
    }
    if (bandwidth.back != nullptr) {
        bufferevent_add_to_rate_limit_group(target_.get(), bandwidth.back);
    }
    watch(client_.get());
    watch(target_.get());
    const sockaddr_in to = address_of(target);
    bufferevent_socket_connect(target_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

relay_connection::~relay_connection() {
    bufferevent_remove_from_rate_limit_group(client_.get());
    bufferevent_remove_from_rate_limit_group(target_.get());
}

void relay_connection::watch(bufferevent* raw) {
    bufferevent_setcb(raw, &relay_connection::on_read, &relay_connection::on_write,
                      &relay_connection::on_event, this);
    bufferevent_enable(raw, EV_READ | EV_WRITE);
}

void relay_connection::on_read(bufferevent* raw, void* self) {
    auto* one = static_cast<relay_connection*>(self);
    std::string bytes = drain(raw);
    const bool swallowed = one->swallows_answers_ && raw == one->target_.get();
    if (one->silent_ || one->closing_ || swallowed) {
        return;
    }
    one->take(raw == one->client_.get() ? one->there_ : one->back_, std::move(bytes));
}

// Called when everything was sent: reading may go on.
void relay_connection::on_write(bufferevent* raw, void* self) {
    auto* one = static_cast<relay_connection*>(self);
    one->pass_due(raw == one->target_.get() ? one->there_ : one->back_);
}

void relay_connection::on_event(bufferevent* raw, short what, void* self) {
    auto* one = static_cast<relay_connection*>(self);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || one->silent_) {
        return;
    }
    if ((what & BEV_EVENT_ERROR) != 0) {
        one->close();
        return;
    }
    one->take(raw == one->client_.get() ? one->there_ : one->back_, "");
}

void relay_connection::take(relay_way& way, std::string bytes) {
    way.held_bytes += bytes.size();
    way.held.push_back({clock_.now() + delay_, std::move(bytes)});
    pass_due(way);
}

void relay_connection::pass_due(relay_way& way) {
    way.timer.reset();
    while (!way.held.empty() && !silent_ && !closing_) {
        const auto now = clock_.now();
        auto& first = way.held.front();
        if (first.due > now) {
            way.timer = loop_.after(first.due - now, [this, &way] { pass_due(way); });
            break;
        }
        if (first.bytes.empty()) {
            // Closes only once the rest was sent; on_write comes back here.
            if (unsent(way.to) == 0) {
                close();
            }
            break;
        }
        bufferevent_write(way.to, first.bytes.data(), first.bytes.size());
        way.held_bytes -= first.bytes.size();
        way.held.pop_front();
    }
    regulate(way);
}

void relay_connection::regulate(relay_way& way) {
    const bool full = way.held_bytes + unsent(way.to) >= max_held;
    if (full && !way.stopped_reading) {
        bufferevent_disable(way.from, EV_READ);
    } else if (!full && way.stopped_reading) {
        bufferevent_enable(way.from, EV_READ);
    }
    way.stopped_reading = full;
}

void relay_connection::close() {
    if (!closing_) {
        closing_ = true;
        closed_();
    }
}

}  // namespace cranberrydock::standins
