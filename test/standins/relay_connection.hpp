// One TCP connection through the relay: bytes of each way are passed on after a delay, or swallowed
// for good once the connection has been silenced.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct bufferevent_rate_limit_group;

namespace cranberrydock::standins {

struct bufferevent_deleter {
    void operator()(bufferevent* it) const;
};
using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;

// The narrow link: all connections of the relay share each way's bytes a second. Null: unlimited.
struct relay_bandwidth {
    bufferevent_rate_limit_group* there = nullptr;
    bufferevent_rate_limit_group* back = nullptr;
};

// One way of a connection: what was read from one end waits here for its time.
// Invariant: while `stopped_reading`, at least max_held bytes are held or unsent.
struct relay_way {
    struct chunk {
        base::time_point due;
        std::string bytes;  // empty: the sender has closed
    };

    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    std::deque<chunk> held;
    std::size_t held_bytes = 0;
    bool stopped_reading = false;
    std::unique_ptr<net::timer> timer;
};

// Use and destroy on the loop's thread.
class relay_connection {
public:
    // Takes over the accepted socket and connects to the target. Calls `closed` once, when either
    // end is gone and what it had sent has been passed on; the owner then destroys this object, but
    // not inside the call.
    relay_connection(net::event_loop& loop, const base::clock& clock, int accepted_socket,
                     const net::endpoint& target, const relay_bandwidth& bandwidth,
                     std::function<void()> closed);
    ~relay_connection();
    relay_connection(const relay_connection&) = delete;
    relay_connection& operator=(const relay_connection&) = delete;

    void set_delay(base::milliseconds each_way) { delay_ = each_way; }

    // From now on everything is swallowed and nothing is told to either end, for good.
    void silence() { silent_ = true; }
    // The same for what the target sends only.
    void swallow_answers() { swallows_answers_ = true; }

private:
    static void on_read(bufferevent* raw, void* self);
    static void on_write(bufferevent* raw, void* self);
    static void on_event(bufferevent* raw, short what, void* self);

    void watch(bufferevent* raw);
    void take(relay_way& way, std::string bytes);
    void pass_due(relay_way& way);
    void regulate(relay_way& way);
    void close();

    net::event_loop& loop_;
    const base::clock& clock_;
    std::function<void()> closed_;
    base::milliseconds delay_{0};
    bool silent_ = false;
    bool swallows_answers_ = false;
    bool closing_ = false;
    bufferevent_ptr client_;
    bufferevent_ptr target_;
    relay_way there_;
    relay_way back_;
};

}  // namespace cranberrydock::standins
