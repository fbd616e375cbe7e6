// Which frame goes on which channel, and when the link counts as up.
#include "link.hpp"

#include <cranberrydock/mesh/codec.hpp>

#include "link_frames.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// A larger message goes on the bulk channel. At 30 Mbit/s one of this size delays a heartbeat by
// less than 20 ms.
constexpr std::size_t max_control_message = 64 * 1024;

}  // namespace

link::link(const context& parts, const peer& to, link_events& events)
    : parts_(parts),
      peer_(to),
      events_(events),
      control_(parts, to, channel::control, *this),
      bulk_(parts, to, channel::bulk, *this) {}

void link::adopt(std::shared_ptr<connection> fresh) {
    if (fresh->which() == channel::control) {
        control_.adopt(std::move(fresh));
    } else {
        bulk_.adopt(std::move(fresh));
    }
}

void link::stop() {
    stopped_ = true;
    count_bytes();
    control_.stop();
    bulk_.stop();
    update("no longer a peer");
}

bool link::send(const std::string& bytes) {
    link_channel& by = bytes.size() > max_control_message ? bulk_ : control_;
    if (stopped_ || !by.is_open() || !heard_) {
        return refuse_send("no_link");
    }
    if (bytes.size() > static_cast<std::size_t>(parts_.settings.max_frame.value())) {
        return refuse_send("too_large");
    }
    const std::size_t queued = control_.unsent() + bulk_.unsent() + bytes.size();
    if (queued > static_cast<std::size_t>(parts_.settings.max_queued.value())) {
        return refuse_send("queue_full");
    }
    return by.send(bytes) || refuse_send("no_link");
}

void link::send_heartbeat(const std::string& state) {
    const base::time_point now = parts_.clock.now();
    if (control_.is_open()) {
        control_.send(encode(beat_frame{control_.timing().next(now), state}));
    }
    if (bulk_.is_open()) {
        bulk_.send(encode(beat_frame{bulk_.timing().next(now), {}}));
    }
}

void link::watch() {
    control_.watch();
    bulk_.watch();
}

void link::count_bytes() {
    const std::string label = "peer=\"" + peer_.address.text() + "\",direction=";
    const base::byte_count sent_now = sent();
    const base::byte_count received_now = received();
    parts_.metrics.count("mesh_bytes_total", label + "\"sent\"",
                         static_cast<std::uint64_t>((sent_now - counted_sent_).value()));
    parts_.metrics.count("mesh_bytes_total", label + "\"received\"",
                         static_cast<std::uint64_t>((received_now - counted_received_).value()));
    counted_sent_ = sent_now;
    counted_received_ = received_now;
}

link_status link::status() const {
    link_status out;
    out.peer = peer_.id;
    out.up = up_;
    out.last_heard = control_.last_heard();
    out.round_trip = control_.timing().smoothed();
    out.sent = sent();
    out.received = received();
    return out;
}

void link::on_channel_open(link_channel& which) {
    if (which.which() == channel::control) {
        heard_ = false;
        control_.send(encode(
            beat_frame{control_.timing().next(parts_.clock.now()), events_.heartbeat_bytes()}));
    }
    update("");
}

void link::on_channel_frame(link_channel& which, const std::string& frame) {
    which.confirm();
    if (is_link_frame(frame)) {
        receive_beat(which, frame);
    } else {
        receive_message(which, frame);
    }
}

void link::on_channel_down(link_channel& which, const std::string& why) {
    if (which.which() == channel::control) {
        heard_ = false;
    }
    spdlog::info("event=mesh_channel_down peer={} channel={} why=\"{}\"", peer_.id.str(),
                 to_string(which.which()), why);
    update(why);
}

void link::receive_beat(link_channel& which, const std::string& frame) {
    auto read = decode_beat(frame);
    if (!read) {
        refuse_frame(which, "malformed", read.error());
        return;
    }
    which.timing().heard(read->timing, parts_.clock.now());
    if (which.which() != channel::control) {
        return;
    }
    auto state = decode(read->state);
    if (!state) {
        refuse_frame(which, "malformed", state.error());
        return;
    }
    heard_ = true;
    update("");
    events_.on_link_message(*this, std::move(*state));
}

void link::receive_message(link_channel& which, const std::string& bytes) {
    auto read = decode(bytes);
    if (!read) {
        refuse_frame(which, "malformed", read.error());
        return;
    }
    events_.on_link_message(*this, std::move(*read));
}

void link::refuse_frame(const link_channel& which, const char* reason,
                        const base::findings& faults) {
    parts_.metrics.count("mesh_frames_refused_total", std::string("reason=\"") + reason + "\"");
    spdlog::warn("event=mesh_frame_refused peer={} channel={} findings={} finding=\"{}\"",
                 peer_.id.str(), to_string(which.which()), faults.size(),
                 base::to_string(faults.list().front()));
}

bool link::refuse_send(const char* reason) {
    parts_.metrics.count("mesh_sends_refused_total", std::string("reason=\"") + reason + "\"");
    return false;
}

void link::update(const std::string& why) {
    const bool now = !stopped_ && control_.is_open() && bulk_.is_open() && heard_;
    if (now == up_) {
        return;
    }
    up_ = now;
    if (!now) {
        const char* const reason = why == "silent" ? "silent" : stopped_ ? "stopped" : "closed";
        parts_.metrics.count("mesh_links_down_total", std::string("reason=\"") + reason + "\"");
    }
    spdlog::info("event=mesh_link peer={} up={} why=\"{}\"", peer_.id.str(), up_, why);
    events_.on_link_change(*this, up_);
}

}  // namespace cranberrydock::mesh::detail
