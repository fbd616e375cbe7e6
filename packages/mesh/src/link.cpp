// Which frame goes on which channel, and when the link counts as up.
#include "link.hpp"

#include <cranberrydock/mesh/codec.hpp>

#include "link_frames.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// A larger message goes on the bulk channel. At 30 Mbit/s one of this size delays a heartbeat by
// less than 20 ms.
constexpr std::size_t max_control_message = 64 * 1024;

// Reason of a refused frame: not one of the frames or messages.
const char* const malformed = "malformed";

}  // namespace

link::link(const context& parts, const peer& to, link_events& events)
    : parts_(parts),
      peer_(to),
      events_(events),
      control_(parts, to, channel::control, *this),
      bulk_(parts, to, channel::bulk, *this),
      incoming_(parts.settings.max_frame, parts.settings.max_queued) {}

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

bool link::send(std::string bytes) {
    used_ = true;
    last_used_ = parts_.clock.now();
    update_pace();
    const bool large = bytes.size() > max_control_message;
    const link_channel& by = large ? bulk_ : control_;
    if (stopped_ || !by.is_open() || !heard_) {
        return refuse_send("no_link");
    }
    if (bytes.size() > static_cast<std::size_t>(parts_.settings.max_frame.value())) {
        return refuse_send("too_large");
    }
    const std::size_t queued =
        control_.unsent() + bulk_.unsent() + outgoing_.waiting() + bytes.size();
    if (queued > static_cast<std::size_t>(parts_.settings.max_queued.value())) {
        return refuse_send("queue_full");
    }
    if (!large) {
        return control_.send(bytes) || refuse_send("no_link");
    }
    outgoing_.add(std::move(bytes));
    send_chunks();
    return true;
}

void link::set_near(bool near) {
    near_ = near;
    update_pace();
}

pace link::wished() const {
    const bool all_near = parts_.settings.near_peers == 0;
    if (all_near || used_lately()) {
        return pace::in_use;
    }
    return near_ ? pace::near : pace::far;
}

bool link::used_lately() const {
    if (!used_) {
        return false;
    }
    const bool lately = parts_.clock.now() - last_used_ < parts_.settings.active_time;
    const bool unanswered = control_.is_open() && control_.last_heard() < last_used_;
    return lately || unanswered;
}

void link::update_pace() {
    const pace now = std::max(wished(), peer_wishes_);
    if (now == pace_) {
        return;
    }
    pace_ = now;
    pace_since_ = parts_.clock.now();
    // The peer is to follow at once: what it expects of this end depends on it.
    send_beat(events_.current_state());
}

void link::beat_if_due(const heartbeat& state) {
    update_pace();
    // Called once a period: the half keeps a far beat from slipping to the next call.
    const base::duration far = parts_.settings.far_period - parts_.settings.heartbeat_period / 2;
    if (pace_ != pace::far || parts_.clock.now() - last_beat_ >= far) {
        send_beat(state);
    }
}

bool link::usage_is_due() const {
    return !last_usage_ || parts_.clock.now() - *last_usage_ >= parts_.settings.usage_period;
}

void link::send_beat(const heartbeat& state) {
    last_beat_ = parts_.clock.now();
    if (control_.is_open()) {
        const bool with_usage = usage_is_due();
        if (with_usage) {
            last_usage_ = last_beat_;
        }
        control_.send(encode(beat_frame{control_.timing().next(last_beat_), wished(),
                                        own_state_.next(state, with_usage)}));
    }
    if (bulk_.is_open() && pace_ == pace::in_use) {
        bulk_.send(encode(beat_frame{bulk_.timing().next(last_beat_), wished(), {}}));
    }
}

void link::watch() {
    const mesh_settings& settings = parts_.settings;
    const base::duration control_deadline = pace_ == pace::far
                                                ? settings.far_period + settings.silence_deadline
                                                : base::duration(settings.silence_deadline);
    control_.watch(control_deadline, pace_since_);
    if (pace_ == pace::in_use) {
        bulk_.watch(settings.silence_deadline, pace_since_);
    }
}

void link::count_bytes() {
    // Most far links have nothing new most of the time.
    if (sent() == counted_sent_ && received() == counted_received_) {
        return;
    }
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
    out.watched = pace_ != pace::far;
    out.round_trip = control_.timing().smoothed();
    out.round_trips = round_trips_.summary();
    out.sent = sent();
    out.received = received();
    return out;
}

void link::on_channel_open(link_channel& which) {
    if (which.which() == channel::control) {
        heard_ = false;
        peer_wishes_ = pace::in_use;
        last_usage_.reset();
        own_state_ = state_sender();
        peer_state_ = state_receiver();
        update_pace();
        send_beat(events_.current_state());
    } else {
        outgoing_ = bulk_sender();
        incoming_ = bulk_receiver(parts_.settings.max_frame, parts_.settings.max_queued);
    }
    update("");
}

void link::on_channel_frame(link_channel& which, const std::string& frame) {
    which.confirm();
    if (is_link_frame(frame)) {
        receive_link_frame(which, frame);
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

void link::receive_link_frame(link_channel& which, const std::string& frame) {
    auto read = decode_link_frame(frame);
    if (!read) {
        // Not so for messages, which two releases may know different ones of: here the ends
        // disagree about the link itself. A chunk's credit, say, would be missing for good.
        refuse_frame(which, malformed, read.error());
        which.reopen("malformed link frame");
        return;
    }
    std::visit([&](auto& one) { receive(which, std::move(one)); }, *read);
}

void link::receive(link_channel& which, const beat_frame& what) {
    const auto sample = which.timing().heard(what.timing, parts_.clock.now());
    if (which.which() != channel::control) {
        return;
    }
    if (sample) {
        round_trips_.add(*sample);
    }
    auto state = peer_state_.receive(what.state);
    if (!state) {
        // The states that follow build on this one.
        refuse_frame(which, malformed, state.error());
        which.reopen("malformed state");
        return;
    }
    heard_ = true;
    peer_wishes_ = what.wished;
    update_pace();
    update("");
    events_.on_link_message(*this, std::move(*state));
}

void link::receive(link_channel& which, chunk what) {
    const auto n = static_cast<std::int64_t>(what.bytes.size());
    auto outcome = incoming_.receive(std::move(what));
    // A refused chunk has left the wire too.
    which.send(encode(credit_frame{n}));
    if (!outcome) {
        base::findings faults;
        faults.add(std::move(outcome.error()));
        refuse_frame(which, "broken_transfer", faults);
        return;
    }
    if (outcome->message) {
        receive_message(which, *outcome->message);
    }
}

void link::receive(link_channel& which, const credit_frame& what) {
    if (!outgoing_.credit(what.bytes)) {
        base::findings faults;
        faults.add({"/credit", "at most what is under way", "more", ""});
        refuse_frame(which, malformed, faults);
        which.reopen("malformed credit");
        return;
    }
    send_chunks();
}

void link::send_chunks() {
    while (auto next = outgoing_.next()) {
        bulk_.send(encode(std::move(*next)));
    }
}

void link::receive_message(link_channel& which, const std::string& bytes) {
    auto read = decode(bytes);
    if (!read) {
        refuse_frame(which, malformed, read.error());
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
