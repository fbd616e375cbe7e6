// One connection to a peer: a socket, the websocket on it and the authentication. Frames are
// delivered only after the peer has proved the shared secret.
#pragma once

#include "authentication.hpp"
#include "context.hpp"
#include "stream_socket.hpp"
#include "websocket.hpp"

#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

class connection;

// Callbacks of a connection, made from the event loop. They must not destroy the connection; pass
// it to context::deferred_deletions instead.
class connection_events {
public:
    virtual ~connection_events() = default;
    // The peer has proved the shared secret.
    virtual void on_authenticated(connection& from) = 0;
    virtual void on_frame(connection& from, const std::string& frame) = 0;
    // The connection has failed, or the peer has closed it. Not called after close().
    virtual void on_closed(connection& from, const std::string& cause) = 0;
};

class connection final : private websocket_events, private stream_events {
public:
    // Dials `remote`.
    connection(const context& ctx, const peer& remote, channel_kind kind,
               connection_events& events);
    // Takes ownership of an accepted socket.
    connection(const context& ctx, int accepted_fd, connection_events& events);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() override = default;

    // Replaces the receiver of the callbacks.
    void set_events(connection_events& events) { events_ = &events; }

    // Returns false when the connection is not authenticated or is closed.
    bool send(const std::string& frame);

    // Closes the connection without calling on_closed(). Destroy the connection in a later
    // iteration of the event loop.
    void close();

    // Resumes reading when `on` is true and pauses it otherwise.
    void set_reading(bool on) { socket_.set_reading(on); }

    const base::daemon_id& peer_id() const { return authenticator_.peer(); }
    channel_kind kind() const { return authenticator_.kind(); }

    // When bytes last arrived from the peer; the time of creation before the first bytes.
    base::time_point last_received() const { return last_received_; }
    // Bytes of the websocket connection, including the opening handshake.
    base::byte_count sent() const { return sent_; }
    base::byte_count received() const { return received_; }
    std::size_t unsent() const { return socket_.unsent(); }

private:
    enum class state { opening, authenticating, authenticated, closed };

    void on_websocket_open() override;
    void on_websocket_frame(const std::string& frame) override;
    void on_websocket_closed(const std::string& cause) override;
    void write_bytes(const char* data, std::size_t n) override;
    void on_connected() override;
    void on_bytes(const char* data, std::size_t n) override;
    void on_stream_ended(const std::string& cause) override;

    void receive_authentication(const std::string& frame);
    void refuse_peer(const char* reason, const std::string& cause);
    void end(const std::string& cause);

    const context& context_;
    connection_events* events_;
    bool is_dialer_;
    state state_ = state::opening;
    authenticator authenticator_;
    base::time_point last_received_;
    base::byte_count sent_;
    base::byte_count received_;
    stream_socket socket_;
    std::unique_ptr<websocket> websocket_;  // declared after socket_: its destructor may write
    std::unique_ptr<net::timer> opening_deadline_;  // for the handshake and authentication
};

}  // namespace cranberrydock::mesh::detail
