// A TCP relay between the processes of a cluster: each link listens on its own port, forwards
// connections to a target, and simulates network faults on request.
//
//   POST /control/links   {"target":"ADDRESS:PORT"} adds a link: {"link":0,"listen":"ADDRESS:PORT"}
//   GET  /control/links   {"links":[{"link","listen","target","connections"}]}
//   POST /control/link    {"link":0,"action":"..."}, without "link" for all links; action is one of
//     target     {"target":"ADDRESS:PORT"}: the target of new connections
//     cut        closes every connection and refuses new ones
//     silence    open connections drop all bytes for good; new ones work
//     swallow_all_connections as silence, and new connections are accepted and drop all bytes too
//     swallow_answers    open and new connections forward requests and drop all answers
//     restore    ends cut, swallow_all_connections and swallow_answers; connections that drop all
//     bytes still do delay      {"ms":30}: in each direction, for open and new connections
//   POST /control/bandwidth  {"bytes_per_second":3750000}: in each direction, shared by the new
//     connections of all links; 0: unlimited
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

// One port of the relay. The member functions are the actions above. Use and destroy on the loop's
// thread.
class relay_link {
public:
    relay_link(net::event_loop& loop, const base::clock& clock, const net::endpoint& listen,
               net::endpoint target);

    void set_target(net::endpoint target) { target_ = std::move(target); }
    void set_bandwidth(const relay_bandwidth& bandwidth) { bandwidth_ = bandwidth; }
    void set_delay(base::milliseconds per_direction);
    void cut();
    void swallow_open_connections();
    void swallow_all_connections();
    void swallow_answers();
    void restore();

    const net::endpoint& listen_endpoint() const { return listen_; }
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
    bool drops_everything_ = false;
    bool drops_answers_ = false;
    std::uint64_t next_connection_ = 0;
    std::map<std::uint64_t, std::unique_ptr<relay_connection>> connections_;
    platform::delayed_calls calls_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;  // null while cut
};

// The relay's links and their control routes. Use and destroy on the loop's thread.
class relay {
public:
    relay(net::event_loop& loop, const std::string& listen_address);

    net::endpoint listen_endpoint() const { return server_->listen_endpoint(); }

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
    // A group must outlive the connections that are in it, so all groups are kept.
    std::vector<rate_limit_ptr> rate_limit_groups_;
    relay_bandwidth bandwidth_;
    std::vector<std::unique_ptr<relay_link>> links_;
    route_table routes_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace cranberrydock::standins
