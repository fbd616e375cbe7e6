// The link to one peer: a control and a bulk channel, and what the mesh knows of them. The link is
// up while both channels are open and the peer's heartbeats come.
#pragma once

#include <cranberrydock/mesh/bulk_transfer.hpp>
#include <cranberrydock/mesh/mesh.hpp>
#include <cranberrydock/mesh/round_trip_history.hpp>

#include "context.hpp"
#include "link_channel.hpp"
#include "link_frames.hpp"

#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

class link;

class link_events {
public:
    virtual ~link_events() = default;
    virtual void on_link_message(link& from, message what) = 0;
    virtual void on_link_change(link& which, bool up) = 0;
    // An encoded heartbeat for the peer.
    virtual std::string heartbeat_bytes() = 0;
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

    // Sends a heartbeat with that content.
    void send_heartbeat(const std::string& state);

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
    round_trip_history round_trips_;  // of the control channel, over all its connections
    link_channel control_;
    link_channel bulk_;
    // Of the bulk connection in use.
    bulk_sender outgoing_;
    bulk_receiver incoming_;
};

}  // namespace cranberrydock::mesh::detail
