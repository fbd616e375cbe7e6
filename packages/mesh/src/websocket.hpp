// A websocket over any stream of bytes: bytes from the socket go in, frames come out, and the other
// way. websocketpp does the protocol; its headers take long to compile and stay in websocket.cpp.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

// Told from within receive(), start() and send(). Must not destroy the websocket from there.
class websocket_events {
public:
    virtual ~websocket_events() = default;
    virtual void on_websocket_open() = 0;
    virtual void on_websocket_frame(const std::string& frame) = 0;
    // The protocol has ended, for that reason; nothing comes after it.
    virtual void on_websocket_closed(const std::string& why) = 0;
    // Bytes for the other end.
    virtual void write_bytes(const char* data, std::size_t n) = 0;
};

class websocket {
public:
    virtual ~websocket() = default;

    // Begins the opening handshake.
    virtual void start() = 0;

    // Bytes from the other end.
    virtual void receive(const char* data, std::size_t n) = 0;

    // Sends one binary frame; false when the websocket isn't open.
    virtual bool send(const std::string& frame) = 0;
};

// Makes both ends' websockets. Use and destroy on one thread; the websockets go first.
class websocket_factory {
public:
    virtual ~websocket_factory() = default;
    virtual std::unique_ptr<websocket> dialing(const std::string& host,
                                               websocket_events& events) = 0;
    virtual std::unique_ptr<websocket> accepting(websocket_events& events) = 0;
};

// A frame over `max_frame` ends its connection.
std::unique_ptr<websocket_factory> make_websocket_factory(base::byte_count max_frame);

}  // namespace cranberrydock::mesh::detail
