// Forwards the bytes of one connection after their delay.
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

// Bytes of one direction that are held or unsent; above that, the source is not read.
constexpr std::size_t max_held = 4 * 1024 * 1024;

std::string drain(bufferevent* raw) {
    evbuffer* const buf = bufferevent_get_input(raw);
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, out.data(), out.size());
    return out;
}

sockaddr_in address_of(const net::endpoint& peer) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.address.c_str(), &out.sin_addr);
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
    to_target_.source = from_target_.destination = client_.get();
    to_target_.destination = from_target_.source = target_.get();
    if (bandwidth.to_target != nullptr) {
        bufferevent_add_to_rate_limit_group(client_.get(), bandwidth.to_target);
    }
    if (bandwidth.from_target != nullptr) {
        bufferevent_add_to_rate_limit_group(target_.get(), bandwidth.from_target);
    }
    set_callbacks(client_.get());
    set_callbacks(target_.get());
    const sockaddr_in target_address = address_of(target);
    bufferevent_socket_connect(target_.get(), reinterpret_cast<const sockaddr*>(&target_address),
                               sizeof target_address);
}

relay_connection::~relay_connection() {
    bufferevent_remove_from_rate_limit_group(client_.get());
    bufferevent_remove_from_rate_limit_group(target_.get());
}

void relay_connection::set_callbacks(bufferevent* raw) {
    bufferevent_setcb(raw, &relay_connection::on_read, &relay_connection::on_write,
                      &relay_connection::on_event, this);
    bufferevent_enable(raw, EV_READ | EV_WRITE);
}

void relay_connection::on_read(bufferevent* raw, void* self) {
    auto* connection = static_cast<relay_connection*>(self);
    std::string bytes = drain(raw);
    const bool dropped = connection->drops_answers_ && raw == connection->target_.get();
    if (connection->drops_everything_ || connection->closing_ || dropped) {
        return;
    }
    connection->enqueue(
        raw == connection->client_.get() ? connection->to_target_ : connection->from_target_,
        std::move(bytes));
}

// Called when the output buffer is empty, so that reading can resume.
void relay_connection::on_write(bufferevent* raw, void* self) {
    auto* connection = static_cast<relay_connection*>(self);
    connection->forward_due(raw == connection->target_.get() ? connection->to_target_
                                                             : connection->from_target_);
}

void relay_connection::on_event(bufferevent* raw, short events, void* self) {
    auto* connection = static_cast<relay_connection*>(self);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || connection->drops_everything_) {
        return;
    }
    if ((events & BEV_EVENT_ERROR) != 0) {
        connection->close();
        return;
    }
    connection->enqueue(
        raw == connection->client_.get() ? connection->to_target_ : connection->from_target_, "");
}

void relay_connection::enqueue(relay_direction& direction, std::string bytes) {
    direction.held_bytes += bytes.size();
    direction.held_chunks.push_back({clock_.now() + delay_, std::move(bytes)});
    forward_due(direction);
}

void relay_connection::forward_due(relay_direction& direction) {
    direction.timer.reset();
    while (!direction.held_chunks.empty() && !drops_everything_ && !closing_) {
        const auto now = clock_.now();
        auto& first = direction.held_chunks.front();
        if (first.due > now) {
            direction.timer =
                loop_.after(first.due - now, [this, &direction] { forward_due(direction); });
            break;
        }
        if (first.bytes.empty()) {
            // Closes only after all bytes were sent; on_write calls this function again.
            if (unsent(direction.destination) == 0) {
                close();
            }
            break;
        }
        bufferevent_write(direction.destination, first.bytes.data(), first.bytes.size());
        direction.held_bytes -= first.bytes.size();
        direction.held_chunks.pop_front();
    }
    update_reading(direction);
}

void relay_connection::update_reading(relay_direction& direction) {
    const bool full = direction.held_bytes + unsent(direction.destination) >= max_held;
    if (full && !direction.reading_paused) {
        bufferevent_disable(direction.source, EV_READ);
    } else if (!full && direction.reading_paused) {
        bufferevent_enable(direction.source, EV_READ);
    }
    direction.reading_paused = full;
}

void relay_connection::close() {
    if (!closing_) {
        closing_ = true;
        closed_();
    }
}

}  // namespace cranberrydock::standins
