// One TCP connection as a libevent bufferevent, with a C++ interface.
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <cstddef>
#include <string>

struct bufferevent;

namespace cranberrydock::mesh::detail {

// Told from the event loop, never from within a call on the socket. Must not destroy the socket.
class stream_events {
public:
    virtual ~stream_events() = default;
    virtual void on_connected() = 0;
    virtual void on_bytes(const char* data, std::size_t n) = 0;
    virtual void on_stream_ended(const std::string& why) = 0;
};

class stream_socket {
public:
    // Connects to `to`.
    stream_socket(net::event_loop& loop, const net::endpoint& to, stream_events& events);
    // Takes over an accepted connection.
    stream_socket(net::event_loop& loop, int accepted, stream_events& events);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void write(const char* data, std::size_t n);

    // Bytes that were written and that the kernel hasn't taken yet.
    std::size_t unsent() const;

    // Stops and resumes reading; meanwhile the other end is held back by TCP.
    void set_reading(bool on);

    // No more events come.
    void silence() { events_ = nullptr; }

private:
    static void on_readable(bufferevent* bev, void* self);
    static void on_event(bufferevent* bev, short what, void* self);

    bufferevent* bev_;
    stream_events* events_;  // null: tells nothing any more
};

}  // namespace cranberrydock::mesh::detail
