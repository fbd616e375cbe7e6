// A websocket over any byte stream: it converts received bytes to frames and frames to bytes to
// send. Implemented with websocketpp, whose headers are slow to compile and are included in
// websocket.cpp only.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

// Callbacks of a websocket, made from within receive(), start() and send(). They must not destroy
// the websocket.
class websocket_events {
public:
    virtual ~websocket_events() = default;
    virtual void on_websocket_open() = 0;
    virtual void on_websocket_frame(const std::string& frame) = 0;
    // The websocket is closed, for the reason `cause`. No callbacks follow.
    virtual void on_websocket_closed(const std::string& cause) = 0;
    // Sends bytes to the other end.
    virtual void write_bytes(const char* data, std::size_t n) = 0;
};

class websocket {
public:
    virtual ~websocket() = default;

    // Starts the opening handshake.
    virtual void start() = 0;

    // Processes bytes from the other end.
    virtual void receive(const char* data, std::size_t n) = 0;

    // Sends one binary frame. Returns false when the websocket is not open.
    virtual bool send(const std::string& frame) = 0;
};

// Creates the websockets of both sides. Must be used and destroyed on one thread, and must outlive
// its websockets.
class websocket_factory {
public:
    virtual ~websocket_factory() = default;
    virtual std::unique_ptr<websocket> make_client(const std::string& host,
                                                   websocket_events& events) = 0;
    virtual std::unique_ptr<websocket> make_server(websocket_events& events) = 0;
};

// A frame larger than `max_frame` closes its connection.
std::unique_ptr<websocket_factory> make_websocket_factory(base::byte_count max_frame);

}  // namespace cranberrydock::mesh::detail
