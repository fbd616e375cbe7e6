// The link to one peer: a control and a bulk channel, and what the mesh knows of them. The link is
// up while both channels are open and the peer's heartbeats come.
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

class link_events {
public:
    virtual ~link_events() = default;
    virtual void on_link_message(link& from, message what) = 0;
    virtual void on_link_change(link& which, bool up) = 0;
    // The content of the next heartbeat.
    virtual heartbeat current_state() = 0;
};

class link final : private link_channel_events {
public:
    link(const context& parts, const peer& to, link_events& events);
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    ~link() override = default;

    const peer& to() const { return peer_; }

    // Takes a proved connection that the peer has dialed.
    void adopt(std::shared_ptr<connection> fresh);

    // Ends the link for good, and tells that it is down.
    void stop();

    // Sends an encoded message; false when nothing was sent.
    bool send(std::string bytes);

    // A near link has beats at the full rate even when it isn't used.
    void set_near(bool near);

    // Called every heartbeat period; sends a heartbeat with that content when one is due.
    void beat_if_due(const heartbeat& state);

    // Closes silent connections.
    void watch();

    // Adds the bytes since the last call to the counters.
    void count_bytes();

    link_status status() const;

private:
    void on_channel_open(link_channel& which) override;
    void on_channel_frame(link_channel& which, const std::string& frame) override;
    void on_channel_down(link_channel& which, const std::string& why) override;

    void receive_link_frame(link_channel& which, const std::string& frame);
    void receive(link_channel& which, const beat_frame& what);
    void receive(link_channel& which, chunk what);
    void receive(link_channel& which, const credit_frame& what);
    // Sends as many chunks as the window allows.
    void send_chunks();
    void receive_message(link_channel& which, const std::string& bytes);
    void refuse_frame(const link_channel& which, const char* reason, const base::findings& faults);
    bool refuse_send(const char* reason);
    void update(const std::string& why);
    // What this end wishes.
    pace wished() const;
    bool used_lately() const;
    // Looks again at who wishes what; tells the peer at once when the pace changes.
    void update_pace();
    void send_beat(const heartbeat& state);
    bool usage_is_due() const;
    base::byte_count sent() const { return control_.sent() + bulk_.sent(); }
    base::byte_count received() const { return control_.received() + bulk_.received(); }

    const context& parts_;
    peer peer_;
    link_events& events_;
    bool up_ = false;  // as told to the events
    bool stopped_ = false;
    bool heard_ = false;  // a heartbeat, on the control connection in use
    base::byte_count counted_sent_{0};
    base::byte_count counted_received_{0};
    bool near_ = true;
    bool used_ = false;                // ever
    base::time_point last_used_{};     // a message was sent or refused
    pace peer_wishes_ = pace::in_use;  // as its last beat said
    pace pace_ = pace::in_use;         // the higher of both ends' wishes
    base::time_point pace_since_{};    // the last change of pace_
    base::time_point last_beat_{};
    std::optional<base::time_point> last_usage_;  // sent on the control connection in use
    state_sender own_state_;                      // on the control connection in use
    state_receiver peer_state_;                   // on the control connection in use
    round_trip_history round_trips_;  // of the control channel, over all its connections
    link_channel control_;
    link_channel bulk_;
    // Of the bulk connection in use.
    bulk_sender outgoing_;
    bulk_receiver incoming_;
};

}  // namespace cranberrydock::mesh::detail
