// Each connection has two bufferevents. Each direction is a queue of pieces and their due times.
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

// Per direction; above that, the sender is not read.
constexpr std::size_t max_in_flight = 256 * 1024;
constexpr int ticks_per_second = 50;  // of the rate limiter

sockaddr_in address_of(const net::endpoint& peer) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(peer.port);
    evutil_inet_pton(AF_INET, peer.address.c_str(), &out.sin_addr);
    return out;
}

struct piece {
    base::time_point due;
    std::string bytes;
};

// One direction of one connection.
struct direction {
    bufferevent* source = nullptr;
    bufferevent* destination = nullptr;
    std::deque<piece> waiting;
    std::unique_ptr<net::timer> due;
};

}  // namespace

struct tcp_relay::state {
    struct connection_pair {
        state* relay = nullptr;
        bool stalled = false;
        bool ended = false;
        bool corrupts_answers = false;  // bytes from the target
        direction to_target;
        direction from_target;
    };

    net::event_loop& loop;
    net::endpoint target;
    tcp_relay_options manner;
    base::monotonic_clock clock;
    net::endpoint listen_address;
    evconnlistener* listener = nullptr;
    ev_token_bucket_cfg* rate = nullptr;
    // Ended ones too; a test has few of them.
    std::vector<std::unique_ptr<connection_pair>> connections;

    state(net::event_loop& relay_loop, net::endpoint target_address,
          const tcp_relay_options& relay_options)
        : loop(relay_loop), target(std::move(target_address)), manner(relay_options) {
        if (manner.bytes_per_second.value() > 0) {
            const auto n = static_cast<std::size_t>(manner.bytes_per_second.value());
            const timeval tick{0, 1'000'000 / ticks_per_second};
            rate = ev_token_bucket_cfg_new(n / ticks_per_second, n / ticks_per_second,
                                           n / ticks_per_second, n / ticks_per_second, &tick);
        }
        sockaddr_in any = address_of({"127.0.0.1", 0});
        listener = evconnlistener_new_bind(loop.raw(), &state::on_accept, this,
                                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                           reinterpret_cast<sockaddr*>(&any), sizeof any);
        CRANBERRYDOCK_CHECK(listener != nullptr, "the relay found no free port");
        socklen_t size = sizeof any;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&any), &size);
        listen_address = {"127.0.0.1", ntohs(any.sin_port)};
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() {
        for (auto& it : connections) {
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
        auto relayed = std::make_unique<connection_pair>();
        relayed->relay = this;
        bufferevent* const client = bufferevent_socket_new(loop.raw(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent* const server = bufferevent_socket_new(loop.raw(), -1, BEV_OPT_CLOSE_ON_FREE);
        relayed->to_target.source = relayed->from_target.destination = client;
        relayed->to_target.destination = relayed->from_target.source = server;
        for (bufferevent* it : {client, server}) {
            bufferevent_setcb(it, &state::on_readable, &state::on_drained, &state::on_event,
                              relayed.get());
            if (rate != nullptr) {
                bufferevent_set_rate_limit(it, rate);
            }
        }
        sockaddr_in target_socket_address = address_of(target);
        bufferevent_socket_connect(server, reinterpret_cast<sockaddr*>(&target_socket_address),
                                   sizeof target_socket_address);
        bufferevent_enable(client, EV_READ | EV_WRITE);
        bufferevent_enable(server, EV_READ | EV_WRITE);
        connections.push_back(std::move(relayed));
    }

    static void on_readable(bufferevent* bev, void* self) {
        auto* relayed = static_cast<connection_pair*>(self);
        direction& flow =
            bev == relayed->to_target.source ? relayed->to_target : relayed->from_target;
        evbuffer* const in = bufferevent_get_input(bev);
        std::string bytes(evbuffer_get_length(in), '\0');
        evbuffer_remove(in, bytes.data(), bytes.size());
        if (relayed->stalled || bytes.empty()) {
            return;
        }
        if (relayed->corrupts_answers && &flow == &relayed->from_target) {
            bytes.back() = static_cast<char>(~bytes.back());
        }
        const base::time_point due = relayed->relay->clock.now() + relayed->relay->manner.delay;
        flow.waiting.push_back({due, std::move(bytes)});
        relayed->relay->forward(*relayed, flow);
    }

    // Forwards the pieces that are due, and sets a timer for the rest.
    void forward(connection_pair& relayed, direction& flow) {
        while (!flow.waiting.empty() && flow.waiting.front().due <= clock.now()) {
            const piece next = std::move(flow.waiting.front());
            flow.waiting.pop_front();
            bufferevent_write(flow.destination, next.bytes.data(), next.bytes.size());
        }
        if (!flow.waiting.empty() && !flow.due) {
            flow.due = loop.after(flow.waiting.front().due - clock.now(), [this, &relayed, &flow] {
                const auto done = std::move(flow.due);
                if (!relayed.stalled && !relayed.ended) {
                    forward(relayed, flow);
                }
            });
        }
        if (evbuffer_get_length(bufferevent_get_output(flow.destination)) > max_in_flight) {
            bufferevent_disable(flow.source, EV_READ);
        }
    }

    static void on_drained(bufferevent* bev, void* self) {
        auto* relayed = static_cast<connection_pair*>(self);
        bufferevent_enable(bev == relayed->to_target.destination ? relayed->to_target.source
                                                                 : relayed->from_target.source,
                           EV_READ);
    }

    static void on_event(bufferevent* /*bev*/, short events, void* self) {
        auto* relayed = static_cast<connection_pair*>(self);
        // A connection that is no longer forwarded stays open at the other end too.
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 && !relayed->stalled) {
            end(*relayed);
        }
    }

    static void end(connection_pair& relayed) {
        if (std::exchange(relayed.ended, true)) {
            return;
        }
        relayed.to_target.due.reset();
        relayed.from_target.due.reset();
        bufferevent_free(relayed.to_target.source);
        bufferevent_free(relayed.to_target.destination);
    }
};

tcp_relay::tcp_relay(net::event_loop& loop, net::endpoint target, const tcp_relay_options& manner)
    : state_(std::make_unique<state>(loop, std::move(target), manner)) {}

tcp_relay::~tcp_relay() = default;

net::endpoint tcp_relay::listen_endpoint() const {
    return state_->listen_address;
}

void tcp_relay::stall_open_connections() {
    for (auto& it : state_->connections) {
        it->stalled = true;
    }
}

void tcp_relay::stall_connection(std::size_t connection) {
    state_->connections.at(connection)->stalled = true;
}

void tcp_relay::cut_open_connections() {
    for (auto& it : state_->connections) {
        state::end(*it);
    }
}

void tcp_relay::corrupt_answers(std::size_t connection, bool on) {
    state_->connections.at(connection)->corrupts_answers = on;
}

std::size_t tcp_relay::accepted_count() const {
    return state_->connections.size();
}

}  // namespace cranberrydock::standins
