// One connection to a peer: a socket, the websocket on it and the proof of the secret. Frames come
// out only once the peer has proved itself.
#pragma once

#include "authentication.hpp"
#include "context.hpp"
#include "stream_socket.hpp"
#include "websocket.hpp"

#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

class connection;

// Told from the event loop. Must not destroy the connection from there; hand it to
// context::retired_objects.
class connection_events {
public:
    virtual ~connection_events() = default;
    // The peer has proved the secret.
    virtual void on_proved(connection& from) = 0;
    virtual void on_frame(connection& from, const std::string& frame) = 0;
    // The connection has ended by itself or by the other end; not told after close().
    virtual void on_closed(connection& from, const std::string& why) = 0;
};

class connection final : private websocket_events, private stream_events {
public:
    // Dials `to`.
    connection(const context& parts, const peer& to, channel which, connection_events& events);
    // Takes over an accepted socket.
    connection(const context& parts, int accepted, connection_events& events);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() override = default;

    // Who listens from now on.
    void set_events(connection_events& events) { events_ = &events; }

    // False when the connection isn't proved or has ended.
    bool send(const std::string& frame);

    // Ends it without a word to the events. It is to be destroyed in a later turn of the loop.
    void close();

    // Stops and resumes reading.
    void set_reading(bool on) { socket_.set_reading(on); }

    const base::daemon_id& peer_id() const { return proof_.peer(); }
    channel which() const { return proof_.which(); }

    // The last time that anything came from the proved peer.
    base::time_point last_heard() const { return last_heard_; }
    // Bytes of websocket frames, the opening included.
    base::byte_count sent() const { return sent_; }
    base::byte_count received() const { return received_; }
    std::size_t unsent() const { return socket_.unsent(); }

private:
    enum class state { opening, proving, proved, closed };

    void on_websocket_open() override;
    void on_websocket_frame(const std::string& frame) override;
    void on_websocket_closed(const std::string& why) override;
    void write_bytes(const char* data, std::size_t n) override;
    void on_connected() override;
    void on_bytes(const char* data, std::size_t n) override;
    void on_stream_ended(const std::string& why) override;

    void receive_proof(const std::string& frame);
    void refuse_peer(const char* reason, const std::string& why);
    void end(const std::string& why);

    const context& parts_;
    connection_events* events_;
    bool dials_;
    state state_ = state::opening;
    authenticator proof_;
    base::time_point last_heard_;
    base::byte_count sent_;
    base::byte_count received_;
    stream_socket socket_;
    std::unique_ptr<websocket> websocket_;          // after socket_: it may write while it goes
    std::unique_ptr<net::timer> opening_deadline_;  // a peer must prove itself within it
};

}  // namespace cranberrydock::mesh::detail
