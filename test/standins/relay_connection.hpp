// One TCP connection through the relay: the bytes of each direction are forwarded after a delay, or
// dropped for good after silence().
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

// The rate limits of a narrow link: all connections of the relay share the bytes per second of each
// direction. Null: unlimited.
struct relay_bandwidth {
    bufferevent_rate_limit_group* to_target = nullptr;
    bufferevent_rate_limit_group* from_target = nullptr;
};

// One direction of a connection: bytes that were read from the source wait here for their delay.
// Invariant: while `reading_paused`, at least max_held bytes are held or unsent.
struct relay_direction {
    struct chunk {
        base::time_point due;
        std::string bytes;  // empty: the sender has closed
    };

    bufferevent* source = nullptr;
    bufferevent* destination = nullptr;
    std::deque<chunk> held_chunks;
    std::size_t held_bytes = 0;
    bool reading_paused = false;
    std::unique_ptr<net::timer> timer;
};

// Use and destroy on the loop's thread.
class relay_connection {
public:
    // Takes ownership of the accepted socket and connects to the target. Calls `closed` once, after
    // either end has closed and its bytes have been forwarded, or at once after an error. The owner
    // then destroys this object, but not inside the call.
    relay_connection(net::event_loop& loop, const base::clock& clock, int accepted_socket,
                     const net::endpoint& target, const relay_bandwidth& bandwidth,
                     std::function<void()> closed);
    ~relay_connection();
    relay_connection(const relay_connection&) = delete;
    relay_connection& operator=(const relay_connection&) = delete;

    void set_delay(base::milliseconds per_direction) { delay_ = per_direction; }

    // From now on drops all bytes and does not close either end, for good.
    void swallow_everything() { drops_everything_ = true; }
    // Drops only what the target sends.
    void swallow_answers() { drops_answers_ = true; }

private:
    static void on_read(bufferevent* raw, void* self);
    static void on_write(bufferevent* raw, void* self);
    static void on_event(bufferevent* raw, short events, void* self);

    void set_callbacks(bufferevent* raw);
    void enqueue(relay_direction& direction, std::string bytes);
    void forward_due(relay_direction& direction);
    void update_reading(relay_direction& direction);
    void close();

    net::event_loop& loop_;
    const base::clock& clock_;
    std::function<void()> closed_;
    base::milliseconds delay_{0};
    bool drops_everything_ = false;
    bool drops_answers_ = false;
    bool closing_ = false;
    bufferevent_ptr client_;
    bufferevent_ptr target_;
    relay_direction to_target_;
    relay_direction from_target_;
};

}  // namespace cranberrydock::standins
