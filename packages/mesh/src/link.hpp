// The link to one peer: a control channel, a bulk channel and their state. The link is up while
// both channels are open and a heartbeat has been received on the current control connection.
#pragma once

#include <cranberrydock/mesh/bulk_transfer.hpp>
#include <cranberrydock/mesh/mesh.hpp>
#include <cranberrydock/mesh/round_trip_history.hpp>
#include <cranberrydock/mesh/state_delta.hpp>

#include "context.hpp"
#include "link_channel.hpp"
#include "link_frames.hpp"

#include <memory>
#include <optional>
#include <string>

namespace cranberrydock::mesh::detail {

class link;

// Callbacks of a link, made on the event loop's thread.
class link_events {
public:
    virtual ~link_events() = default;
    virtual void on_link_message(link& from, message msg) = 0;
    virtual void on_link_change(link& source, bool up) = 0;
    // Returns the state to send in the next heartbeat.
    virtual heartbeat current_state() = 0;
};

class link final : private link_channel_events {
public:
    link(const context& ctx, const peer& remote, link_events& events);
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    ~link() override = default;

    const peer& remote() const { return peer_; }

    // Takes over an authenticated connection that the peer has dialed.
    void adopt(std::shared_ptr<connection> fresh);

    // Closes the link permanently and reports it as down.
    void stop();

    // Sends an encoded message. Returns false when nothing was sent.
    bool send(std::string bytes);

    // A near link carries heartbeats at the full rate even while it is not used.
    void set_near(bool near);

    // Sends a heartbeat with `state` when the interval of the current level has passed. Call it
    // once per heartbeat period.
    void send_heartbeat_if_due(const heartbeat& state);

    // Reopens connections on which nothing was received within the deadline.
    void check_liveness();

    // Adds the bytes transferred since the last call to the metrics.
    void count_bytes();

    link_status status() const;

private:
    void on_channel_open(link_channel& source) override;
    void on_channel_frame(link_channel& source, const std::string& frame) override;
    void on_channel_down(link_channel& source, const std::string& cause) override;

    void receive_link_frame(link_channel& source, const std::string& frame);
    void receive(link_channel& source, const heartbeat_frame& input);
    void receive(link_channel& source, chunk input);
    void receive(link_channel& source, const credit_frame& input);
    // Sends as many chunks as the window allows.
    void send_chunks();
    void receive_message(link_channel& source, const std::string& bytes);
    void refuse_frame(const link_channel& source, const char* reason, const base::findings& faults);
    bool refuse_send(const char* reason);
    void update_link_state(const std::string& cause);
    // The level that this end requests.
    monitoring_level requested_level() const;
    bool recently_used() const;
    // Recomputes the level from both ends' requests, and sends a heartbeat at once when it changes.
    void update_level();
    void send_heartbeat(const heartbeat& state);
    bool usage_is_due() const;
    base::byte_count sent() const { return control_.sent() + bulk_.sent(); }
    base::byte_count received() const { return control_.received() + bulk_.received(); }

    const context& context_;
    peer peer_;
    link_events& events_;
    bool up_ = false;  // as last reported to events_
    bool stopped_ = false;
    bool heartbeat_received_ = false;  // on the current control connection
    base::byte_count counted_sent_{0};
    base::byte_count counted_received_{0};
    bool near_ = true;
    bool used_ = false;             // a message was sent or refused
    base::time_point last_used_{};  // the last such message
    monitoring_level peer_requested_level_ = monitoring_level::in_use;  // from its last heartbeat
    monitoring_level level_ = monitoring_level::in_use;  // the higher of both ends' requests
    base::time_point level_since_{};                     // the last change of level_
    base::time_point last_heartbeat_{};
    std::optional<base::time_point> last_usage_;  // last sent on the current control connection
    state_delta_encoder own_state_;               // on the current control connection
    state_delta_decoder peer_state_;              // on the current control connection
    round_trip_history round_trips_;  // of the control channel, across all its connections
    link_channel control_;
    link_channel bulk_;
    // State of the current bulk connection.
    bulk_sender outgoing_;
    bulk_receiver incoming_;
};

}  // namespace cranberrydock::mesh::detail
