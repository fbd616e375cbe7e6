// One of the two channels of a link. Maintains one connection to the peer: dials and redials it
// when this side is the dialer, measures round trips, and replaces a connection that has become
// unresponsive.
#pragma once

#include "backoff.hpp"
#include "connection.hpp"
#include "context.hpp"
#include "round_trip.hpp"

#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

class link_channel;

// Callbacks of a channel, made on the event loop's thread.
class link_channel_events {
public:
    virtual ~link_channel_events() = default;
    // An authenticated connection is now in use.
    virtual void on_channel_open(link_channel& source) = 0;
    virtual void on_channel_frame(link_channel& source, const std::string& frame) = 0;
    // The connection in use was closed.
    virtual void on_channel_down(link_channel& source, const std::string& cause) = 0;
};

class link_channel final : private connection_events {
public:
    // The daemon with the lower id dials, so that a pair of daemons never has two links.
    link_channel(const context& ctx, peer remote, channel_kind kind, link_channel_events& events);
    ~link_channel() override;
    link_channel(const link_channel&) = delete;
    link_channel& operator=(const link_channel&) = delete;

    // Takes over an authenticated connection that the peer has dialed. It replaces an older one,
    // which the peer has abandoned.
    void adopt(std::shared_ptr<connection> fresh);

    // Closes the connections permanently. No callbacks follow.
    void stop();

    // Returns false when no open connection is in use.
    bool send(const std::string& frame);

    // Reopens the connection when nothing was received on it for longer than `deadline`. The time
    // is counted from `since` or from the last receipt, whichever is later.
    void check_liveness(base::duration deadline, base::time_point since);

    // Closes the connection in use and, on the dialing side, schedules a new one.
    void reopen(const std::string& cause);

    bool is_open() const { return active_ != nullptr; }
    channel_kind kind() const { return kind_; }
    std::size_t unsent() const { return active_ ? active_->unsent() : 0; }
    base::time_point last_received() const {
        return active_ ? active_->last_received() : last_received_;
    }
    base::byte_count sent() const { return sent_ + (active_ ? active_->sent() : no_bytes); }
    base::byte_count received() const {
        return received_ + (active_ ? active_->received() : no_bytes);
    }
    round_trip& timing() { return timing_; }
    const round_trip& timing() const { return timing_; }

    // Restarts the redial backoff from the shortest wait, after a frame was received.
    void reset_backoff() { backoff_.reset(); }

private:
    static constexpr base::byte_count no_bytes{0};

    void on_authenticated(connection& from) override;
    void on_frame(connection& from, const std::string& frame) override;
    void on_closed(connection& from, const std::string& cause) override;

    void dial();
    void dial_later();
    void activate(std::shared_ptr<connection> fresh);
    void drop_active();
    void retire(std::shared_ptr<connection> old);

    const context& context_;
    peer peer_;
    channel_kind kind_;
    link_channel_events& events_;
    bool is_dialer_;
    bool stopped_ = false;
    backoff backoff_;
    std::unique_ptr<net::timer> redial_;
    std::shared_ptr<connection> pending_;  // being opened, not authenticated
    std::shared_ptr<connection> active_;   // in use, authenticated
    round_trip timing_;
    base::time_point last_received_{};  // on previous connections
    base::byte_count sent_{0};          // on previous connections
    base::byte_count received_{0};      // on previous connections
};

}  // namespace cranberrydock::mesh::detail
