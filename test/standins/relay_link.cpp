// One port of the relay.
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
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(listen_.port);
    inet_pton(AF_INET, listen_.address.c_str(), &where.sin_addr);
    listener_.reset(evconnlistener_new_bind(loop_.raw(), &relay_link::on_accept, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                            reinterpret_cast<sockaddr*>(&where), sizeof where));
    if (!listener_) {
        throw std::runtime_error("cannot listen on " + listen_.text());
    }
    socklen_t n = sizeof where;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&where), &n);
    listen_.port = ntohs(where.sin_port);
}

void relay_link::on_accept(evconnlistener* /*listener*/, int socket, sockaddr* /*from*/,
                           int /*size*/, void* self) {
    static_cast<relay_link*>(self)->accept(socket);
}

void relay_link::accept(int socket) {
    const std::uint64_t number = next_++;
    auto one = std::make_unique<relay_connection>(
        loop_, clock_, socket, target_, bandwidth_, [this, number] {
            calls_.after(base::duration{0}, [this, number] { connections_.erase(number); });
        });
    one->set_delay(delay_);
    if (black_hole_) {
        one->silence();
    }
    if (one_way_) {
        one->swallow_answers();
    }
    connections_[number] = std::move(one);
}

void relay_link::set_delay(base::milliseconds each_way) {
    delay_ = each_way;
    for (auto& it : connections_) {
        it.second->set_delay(each_way);
    }
}

void relay_link::cut() {
    listener_.reset();
    connections_.clear();
}

void relay_link::silence() {
    for (auto& it : connections_) {
        it.second->silence();
    }
}

void relay_link::black_hole() {
    black_hole_ = true;
    silence();
}

void relay_link::one_way() {
    one_way_ = true;
    for (auto& it : connections_) {
        it.second->swallow_answers();
    }
}

void relay_link::restore() {
    black_hole_ = false;
    one_way_ = false;
    if (!listener_) {
        open();
    }
}

}  // namespace cranberrydock::standins
