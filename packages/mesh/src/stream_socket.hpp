// A C++ interface to one TCP connection, implemented with a libevent bufferevent.
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

#include <cstddef>
#include <string>

struct bufferevent;

namespace cranberrydock::mesh::detail {

// Callbacks of a socket, made from the event loop and never from within a call to the socket. They
// must not destroy the socket.
class stream_events {
public:
    virtual ~stream_events() = default;
    virtual void on_connected() = 0;
    virtual void on_bytes(const char* data, std::size_t n) = 0;
    virtual void on_stream_ended(const std::string& cause) = 0;
};

class stream_socket {
public:
    // Connects to `remote`.
    stream_socket(net::event_loop& loop, const net::endpoint& remote, stream_events& events);
    // Takes ownership of an accepted socket.
    stream_socket(net::event_loop& loop, int accepted_fd, stream_events& events);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void write(const char* data, std::size_t n);

    // Bytes written that have not been passed to the kernel.
    std::size_t unsent() const;

    // Resumes reading when `on` is true and pauses it otherwise. While paused, TCP flow control
    // stops the sender.
    void set_reading(bool on);

    // Makes no further callbacks.
    void stop_events() { events_ = nullptr; }

private:
    static void on_readable(bufferevent* bev, void* self);
    static void on_event(bufferevent* bev, short what, void* self);

    bufferevent* bev_;
    stream_events* events_;  // null after stop_events()
};

}  // namespace cranberrydock::mesh::detail
