// Two bufferevents a connection; each direction is a queue of pieces with the time they are due.
#include "tcp_relay.hpp"

#include <cranberrydock/base/check.hpp>
#include <cranberrydock/base/clock.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::standins {
namespace {

constexpr std::size_t most_in_flight = 256 * 1024;  // a direction; then the sender is held back
constexpr int ticks_a_second = 50;                  // of the rate limit

sockaddr_in address_of(const net::endpoint& of) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(of.port);
    evutil_inet_pton(AF_INET, of.address.c_str(), &out.sin_addr);
    return out;
}

struct piece {
    base::time_point due;
    std::string bytes;
};

// One direction of one connection.
struct direction {
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    std::deque<piece> waiting;
    std::unique_ptr<net::timer> due;
};

}  // namespace

struct tcp_relay::state {
    struct pair {
        state* relay = nullptr;
        bool silent = false;
        bool ended = false;
        bool damage = false;  // what comes from the target
        direction out;        // to the target
        direction back;       // from the target
    };

    net::event_loop& loop;
    net::endpoint target;
    relay_manner manner;
    base::monotonic_clock clock;
    net::endpoint on;
    evconnlistener* listener = nullptr;
    ev_token_bucket_cfg* rate = nullptr;
    std::vector<std::unique_ptr<pair>> pairs;  // ended ones too: few in a test

    state(net::event_loop& on_loop, net::endpoint to, const relay_manner& how)
        : loop(on_loop), target(std::move(to)), manner(how) {
        if (manner.bytes_a_second.value() > 0) {
            const auto n = static_cast<std::size_t>(manner.bytes_a_second.value());
            const timeval tick{0, 1'000'000 / ticks_a_second};
            rate = ev_token_bucket_cfg_new(n / ticks_a_second, n / ticks_a_second,
                                           n / ticks_a_second, n / ticks_a_second, &tick);
        }
        sockaddr_in any = address_of({"127.0.0.1", 0});
        listener = evconnlistener_new_bind(loop.raw(), &state::on_accept, this,
                                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                           reinterpret_cast<sockaddr*>(&any), sizeof any);
        CRANBERRYDOCK_CHECK(listener != nullptr, "the relay found no free port");
        socklen_t size = sizeof any;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&any), &size);
        on = {"127.0.0.1", ntohs(any.sin_port)};
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() {
        for (auto& it : pairs) {
            end(*it);
        }
        evconnlistener_free(listener);
        if (rate != nullptr) {
            ev_token_bucket_cfg_free(rate);
        }
    }

    static void on_accept(evconnlistener* /*raw*/, int fd, sockaddr* /*from*/, int /*n*/,
                          void* self) {
        static_cast<state*>(self)->accept(fd);
    }

    void accept(int fd) {
        auto one = std::make_unique<pair>();
        one->relay = this;
        bufferevent* const near = bufferevent_socket_new(loop.raw(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent* const far = bufferevent_socket_new(loop.raw(), -1, BEV_OPT_CLOSE_ON_FREE);
        one->out.from = one->back.to = near;
        one->out.to = one->back.from = far;
        for (bufferevent* it : {near, far}) {
            bufferevent_setcb(it, &state::on_readable, &state::on_drained, &state::on_event,
                              one.get());
            if (rate != nullptr) {
                bufferevent_set_rate_limit(it, rate);
            }
        }
        sockaddr_in to = address_of(target);
        bufferevent_socket_connect(far, reinterpret_cast<sockaddr*>(&to), sizeof to);
        bufferevent_enable(near, EV_READ | EV_WRITE);
        bufferevent_enable(far, EV_READ | EV_WRITE);
        pairs.push_back(std::move(one));
    }

    static void on_readable(bufferevent* bev, void* self) {
        auto* one = static_cast<pair*>(self);
        direction& way = bev == one->out.from ? one->out : one->back;
        evbuffer* const in = bufferevent_get_input(bev);
        std::string bytes(evbuffer_get_length(in), '\0');
        evbuffer_remove(in, bytes.data(), bytes.size());
        if (one->silent || bytes.empty()) {
            return;
        }
        if (one->damage && &way == &one->back) {
            bytes.back() = static_cast<char>(~bytes.back());
        }
        const base::time_point due = one->relay->clock.now() + one->relay->manner.delay;
        way.waiting.push_back({due, std::move(bytes)});
        one->relay->forward(*one, way);
    }

    // Passes on what is due, and comes back for the rest.
    void forward(pair& one, direction& way) {
        while (!way.waiting.empty() && way.waiting.front().due <= clock.now()) {
            const piece next = std::move(way.waiting.front());
            way.waiting.pop_front();
            bufferevent_write(way.to, next.bytes.data(), next.bytes.size());
        }
        if (!way.waiting.empty() && !way.due) {
            way.due = loop.after(way.waiting.front().due - clock.now(), [this, &one, &way] {
                const auto done = std::move(way.due);
                if (!one.silent && !one.ended) {
                    forward(one, way);
                }
            });
        }
        if (evbuffer_get_length(bufferevent_get_output(way.to)) > most_in_flight) {
            bufferevent_disable(way.from, EV_READ);
        }
    }

    static void on_drained(bufferevent* bev, void* self) {
        auto* one = static_cast<pair*>(self);
        bufferevent_enable(bev == one->out.to ? one->out.from : one->back.from, EV_READ);
    }

    static void on_event(bufferevent* /*bev*/, short what, void* self) {
        auto* one = static_cast<pair*>(self);
        // A connection that was silenced stays as it is at the other end too.
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 && !one->silent) {
            end(*one);
        }
    }

    static void end(pair& one) {
        if (std::exchange(one.ended, true)) {
            return;
        }
        one.out.due.reset();
        one.back.due.reset();
        bufferevent_free(one.out.from);
        bufferevent_free(one.out.to);
    }
};

tcp_relay::tcp_relay(net::event_loop& loop, net::endpoint target, const relay_manner& manner)
    : state_(std::make_unique<state>(loop, std::move(target), manner)) {}

tcp_relay::~tcp_relay() = default;

net::endpoint tcp_relay::listening_on() const {
    return state_->on;
}

void tcp_relay::silence_open_connections() {
    for (auto& it : state_->pairs) {
        it->silent = true;
    }
}

void tcp_relay::silence_connection(std::size_t connection) {
    state_->pairs.at(connection)->silent = true;
}

void tcp_relay::cut_open_connections() {
    for (auto& it : state_->pairs) {
        state::end(*it);
    }
}

void tcp_relay::damage_answers(std::size_t connection, bool on) {
    state_->pairs.at(connection)->damage = on;
}

std::size_t tcp_relay::accepted() const {
    return state_->pairs.size();
}

}  // namespace cranberrydock::standins
