// Accepts connections on one port of the relay and sets their faults.
#include "relay.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace cranberrydock::standins {

void listener_deleter::operator()(evconnlistener* it) const {
    evconnlistener_free(it);
}

relay_link::relay_link(net::event_loop& loop, const base::clock& clock, const net::endpoint& listen,
                       net::endpoint target)
    : loop_(loop), clock_(clock), listen_(listen), target_(std::move(target)), calls_(loop) {
    open();
}

void relay_link::open() {
    constexpr int backlog = 128;
    sockaddr_in listen_address{};
    listen_address.sin_family = AF_INET;
    listen_address.sin_port = htons(listen_.port);
    inet_pton(AF_INET, listen_.address.c_str(), &listen_address.sin_addr);
    listener_.reset(evconnlistener_new_bind(
        loop_.raw(), &relay_link::on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        backlog, reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address));
    if (!listener_) {
        throw std::runtime_error("cannot listen on " + listen_.text());
    }
    socklen_t n = sizeof listen_address;
    getsockname(evconnlistener_get_fd(listener_.get()),
                reinterpret_cast<sockaddr*>(&listen_address), &n);
    listen_.port = ntohs(listen_address.sin_port);
}

void relay_link::on_accept(evconnlistener* /*listener*/, int socket, sockaddr* /*from*/,
                           int /*size*/, void* self) {
    static_cast<relay_link*>(self)->accept(socket);
}

void relay_link::accept(int socket) {
    const std::uint64_t number = next_connection_++;
    auto connection = std::make_unique<relay_connection>(
        loop_, clock_, socket, target_, bandwidth_, [this, number] {
            calls_.after(base::duration{0}, [this, number] { connections_.erase(number); });
        });
    connection->set_delay(delay_);
    if (drops_everything_) {
        connection->swallow_everything();
    }
    if (drops_answers_) {
        connection->swallow_answers();
    }
    connections_[number] = std::move(connection);
}

void relay_link::set_delay(base::milliseconds per_direction) {
    delay_ = per_direction;
    for (auto& it : connections_) {
        it.second->set_delay(per_direction);
    }
}

void relay_link::cut() {
    listener_.reset();
    connections_.clear();
}

void relay_link::swallow_open_connections() {
    for (auto& it : connections_) {
        it.second->swallow_everything();
    }
}

void relay_link::swallow_all_connections() {
    drops_everything_ = true;
    swallow_open_connections();
}

void relay_link::swallow_answers() {
    drops_answers_ = true;
    for (auto& it : connections_) {
        it.second->swallow_answers();
    }
}

void relay_link::restore() {
    drops_everything_ = false;
    drops_answers_ = false;
    if (!listener_) {
        open();
    }
}

}  // namespace cranberrydock::standins
