// A TCP relay between the parts of a cluster: each link listens on a port of its own and passes
// connections on to a target, with the faults of a network to order.
//
//   POST /control/links   {"target":"ADDRESS:PORT"} adds a link: {"link":0,"listen":"ADDRESS:PORT"}
//   GET  /control/links   {"links":[{"link","listen","target","connections"}]}
//   POST /control/link    {"link":0,"action":"..."}, or all of them without "link"; action one of
//     target     {"target":"ADDRESS:PORT"}: where new connections go
//     cut        closes every connection and refuses new ones
//     silence    open connections swallow everything, for good; new ones work
//     black_hole as silence, and new ones are accepted and swallow everything, too
//     one_way    open and new connections pass on what is sent and swallow every answer
//     restore    ends cut, black_hole and one_way; what has been silenced stays so
//     delay      {"ms":30}: each way, for open and new connections
//   POST /control/bandwidth  {"bytes_per_second":3750000}: shared by all links, each way, for new
//     connections; 0: unlimited
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/platform/delayed_calls.hpp>

#include "control_routes.hpp"
#include "relay_connection.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace cranberrydock::standins {

struct listener_deleter {
    void operator()(evconnlistener* it) const;
};

struct rate_limit_deleter {
    void operator()(bufferevent_rate_limit_group* it) const;
};
using rate_limit_ptr = std::unique_ptr<bufferevent_rate_limit_group, rate_limit_deleter>;

// One port of the relay. Use and destroy on the loop's thread.
class relay_link {
public:
    relay_link(net::event_loop& loop, const base::clock& clock, const net::endpoint& listen,
               net::endpoint target);

    void set_target(net::endpoint target) { target_ = std::move(target); }
    void set_bandwidth(const relay_bandwidth& bandwidth) { bandwidth_ = bandwidth; }
    void set_delay(base::milliseconds each_way);
    void cut();
    void silence();
    void black_hole();
    void one_way();
    void restore();

    const net::endpoint& listening_on() const { return listen_; }
    const net::endpoint& target() const { return target_; }
    std::size_t connections() const { return connections_.size(); }

private:
    static void on_accept(evconnlistener* listener, int socket, sockaddr* from, int size,
                          void* self);
    void open();
    void accept(int socket);

    net::event_loop& loop_;
    const base::clock& clock_;
    net::endpoint listen_;
    net::endpoint target_;
    relay_bandwidth bandwidth_;
    base::milliseconds delay_{0};
    bool black_hole_ = false;
    bool one_way_ = false;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<relay_connection>> connections_;
    platform::delayed_calls calls_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;  // null while cut
};

// The relay's links with the control routes. Use and destroy on the loop's thread.
class relay {
public:
    relay(net::event_loop& loop, const std::string& listen_address);

    net::endpoint listening_on() const { return server_->listening_on(); }

private:
    void add_routes();
    std::string add_link(const net::http_request& request);
    std::string list_links() const;
    void command_links(const net::http_request& request);
    static void command_link(relay_link& link, const net::http_request& request);
    void set_bandwidth(const net::http_request& request);

    net::event_loop& loop_;
    std::string listen_address_;
    base::monotonic_clock clock_;
    // Groups are kept while any connection may still be in them.
    std::vector<rate_limit_ptr> limits_;
    relay_bandwidth bandwidth_;
    std::vector<std::unique_ptr<relay_link>> links_;
    route_table routes_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace cranberrydock::standins
