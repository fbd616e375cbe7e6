// Selects the channel and the frames of a link, and decides when the link is up.
#include "link.hpp"

#include <cranberrydock/mesh/codec.hpp>

#include "link_frames.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// Larger messages go on the bulk channel. At 30 Mbit/s a message of this size delays a heartbeat by
// less than 20 ms.
constexpr std::size_t max_control_message = 64 * 1024;

// Reason for refusing a frame: it is neither a valid link frame nor a valid message.
const char* const malformed = "malformed";

}  // namespace

link::link(const context& ctx, const peer& remote, link_events& events)
    : context_(ctx),
      peer_(remote),
      events_(events),
      control_(ctx, remote, channel_kind::control, *this),
      bulk_(ctx, remote, channel_kind::bulk, *this),
      incoming_(ctx.settings.max_frame, ctx.settings.max_queued) {}

void link::adopt(std::shared_ptr<connection> fresh) {
    if (fresh->kind() == channel_kind::control) {
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
    update_link_state("no longer a peer");
}

bool link::send(std::string bytes) {
    used_ = true;
    last_used_ = context_.clock.now();
    update_level();
    const bool large = bytes.size() > max_control_message;
    const link_channel& via = large ? bulk_ : control_;
    if (stopped_ || !via.is_open() || !heartbeat_received_) {
        return refuse_send("no_link");
    }
    if (bytes.size() > static_cast<std::size_t>(context_.settings.max_frame.value())) {
        return refuse_send("too_large");
    }
    const std::size_t queued =
        control_.unsent() + bulk_.unsent() + outgoing_.queued_bytes() + bytes.size();
    if (queued > static_cast<std::size_t>(context_.settings.max_queued.value())) {
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
    update_level();
}

monitoring_level link::requested_level() const {
    const bool all_near = context_.settings.near_peers == 0;
    if (all_near || recently_used()) {
        return monitoring_level::in_use;
    }
    return near_ ? monitoring_level::near : monitoring_level::far;
}

bool link::recently_used() const {
    if (!used_) {
        return false;
    }
    const bool recent = context_.clock.now() - last_used_ < context_.settings.active_period;
    const bool unanswered = control_.is_open() && control_.last_received() < last_used_;
    return recent || unanswered;
}

void link::update_level() {
    const monitoring_level level = std::max(requested_level(), peer_requested_level_);
    if (level == level_) {
        return;
    }
    level_ = level;
    level_since_ = context_.clock.now();
    // Report the new level at once, because the peer's deadline for this end depends on it.
    send_heartbeat(events_.current_state());
}

void link::send_heartbeat_if_due(const heartbeat& state) {
    update_level();
    // This is called once per heartbeat period. Subtracting half a period keeps a far heartbeat
    // from being delayed to the next call.
    const base::duration far_interval =
        context_.settings.far_period - context_.settings.heartbeat_period / 2;
    if (level_ != monitoring_level::far || context_.clock.now() - last_heartbeat_ >= far_interval) {
        send_heartbeat(state);
    }
}

bool link::usage_is_due() const {
    return !last_usage_ || context_.clock.now() - *last_usage_ >= context_.settings.usage_period;
}

void link::send_heartbeat(const heartbeat& state) {
    last_heartbeat_ = context_.clock.now();
    if (control_.is_open()) {
        const bool with_usage = usage_is_due();
        if (with_usage) {
            last_usage_ = last_heartbeat_;
        }
        control_.send(
            encode(heartbeat_frame{control_.timing().next(last_heartbeat_), requested_level(),
                                   own_state_.encode(state, with_usage)}));
    }
    if (bulk_.is_open() && level_ == monitoring_level::in_use) {
        bulk_.send(
            encode(heartbeat_frame{bulk_.timing().next(last_heartbeat_), requested_level(), {}}));
    }
}

void link::check_liveness() {
    const mesh_settings& settings = context_.settings;
    const base::duration control_deadline = level_ == monitoring_level::far
                                                ? settings.far_period + settings.peer_timeout
                                                : base::duration(settings.peer_timeout);
    control_.check_liveness(control_deadline, level_since_);
    if (level_ == monitoring_level::in_use) {
        bulk_.check_liveness(settings.peer_timeout, level_since_);
    }
}

void link::count_bytes() {
    // Far links are idle most of the time; skip the counters when no bytes were transferred.
    if (sent() == counted_sent_ && received() == counted_received_) {
        return;
    }
    const std::string label = "peer=\"" + peer_.address.text() + "\",direction=";
    const base::byte_count sent_now = sent();
    const base::byte_count received_now = received();
    context_.metrics.count("mesh_bytes_total", label + "\"sent\"",
                           static_cast<std::uint64_t>((sent_now - counted_sent_).value()));
    context_.metrics.count("mesh_bytes_total", label + "\"received\"",
                           static_cast<std::uint64_t>((received_now - counted_received_).value()));
    counted_sent_ = sent_now;
    counted_received_ = received_now;
}

link_status link::status() const {
    link_status out;
    out.peer = peer_.id;
    out.up = up_;
    out.last_received = control_.last_received();
    out.watched = level_ != monitoring_level::far;
    out.round_trip = control_.timing().smoothed();
    out.round_trips = round_trips_.summary();
    out.sent = sent();
    out.received = received();
    return out;
}

void link::on_channel_open(link_channel& source) {
    if (source.kind() == channel_kind::control) {
        heartbeat_received_ = false;
        peer_requested_level_ = monitoring_level::in_use;
        last_usage_.reset();
        own_state_ = state_delta_encoder();
        peer_state_ = state_delta_decoder();
        update_level();
        send_heartbeat(events_.current_state());
    } else {
        outgoing_ = bulk_sender();
        incoming_ = bulk_receiver(context_.settings.max_frame, context_.settings.max_queued);
    }
    update_link_state("");
}

void link::on_channel_frame(link_channel& source, const std::string& frame) {
    source.reset_backoff();
    if (is_link_frame(frame)) {
        receive_link_frame(source, frame);
    } else {
        receive_message(source, frame);
    }
}

void link::on_channel_down(link_channel& source, const std::string& cause) {
    if (source.kind() == channel_kind::control) {
        heartbeat_received_ = false;
    }
    spdlog::info("event=mesh_channel_down peer={} channel={} why=\"{}\"", peer_.id.str(),
                 to_string(source.kind()), cause);
    update_link_state(cause);
}

void link::receive_link_frame(link_channel& source, const std::string& frame) {
    auto read = decode_link_frame(frame);
    if (!read) {
        // An unknown message is only refused, since another release may define other messages. A
        // malformed link frame means that the ends disagree about the state of the link, for
        // example that a chunk's credit is lost for good, so the connection is replaced.
        refuse_frame(source, malformed, read.error());
        source.reopen("malformed link frame");
        return;
    }
    std::visit([&](auto& content) { receive(source, std::move(content)); }, *read);
}

void link::receive(link_channel& source, const heartbeat_frame& input) {
    const auto sample = source.timing().record(input.timing, context_.clock.now());
    if (source.kind() != channel_kind::control) {
        return;
    }
    if (sample) {
        round_trips_.add(*sample);
    }
    auto state = peer_state_.decode(input.state);
    if (!state) {
        // Later state deltas build on this one.
        refuse_frame(source, malformed, state.error());
        source.reopen("malformed state");
        return;
    }
    heartbeat_received_ = true;
    peer_requested_level_ = input.requested_level;
    update_level();
    update_link_state("");
    events_.on_link_message(*this, std::move(*state));
}

void link::receive(link_channel& source, chunk input) {
    const auto n = static_cast<std::int64_t>(input.bytes.size());
    auto outcome = incoming_.receive(std::move(input));
    // A refused chunk is no longer in flight either, so its bytes are credited.
    source.send(encode(credit_frame{n}));
    if (!outcome) {
        base::findings faults;
        faults.add(std::move(outcome.error()));
        refuse_frame(source, "broken_transfer", faults);
        return;
    }
    if (outcome->message) {
        receive_message(source, *outcome->message);
    }
}

void link::receive(link_channel& source, const credit_frame& input) {
    if (!outgoing_.credit(input.bytes)) {
        base::findings faults;
        faults.add({"/credit", "at most the bytes in flight", "more", ""});
        refuse_frame(source, malformed, faults);
        source.reopen("malformed credit");
        return;
    }
    send_chunks();
}

void link::send_chunks() {
    while (auto next = outgoing_.next()) {
        bulk_.send(encode(std::move(*next)));
    }
}

void link::receive_message(link_channel& source, const std::string& bytes) {
    auto read = decode(bytes);
    if (!read) {
        refuse_frame(source, malformed, read.error());
        return;
    }
    events_.on_link_message(*this, std::move(*read));
}

void link::refuse_frame(const link_channel& source, const char* reason,
                        const base::findings& faults) {
    context_.metrics.count("mesh_frames_refused_total", std::string("reason=\"") + reason + "\"");
    spdlog::warn("event=mesh_frame_refused peer={} channel={} findings={} finding=\"{}\"",
                 peer_.id.str(), to_string(source.kind()), faults.size(),
                 base::to_string(faults.list().front()));
}

bool link::refuse_send(const char* reason) {
    context_.metrics.count("mesh_sends_refused_total", std::string("reason=\"") + reason + "\"");
    return false;
}

void link::update_link_state(const std::string& cause) {
    const bool is_up = !stopped_ && control_.is_open() && bulk_.is_open() && heartbeat_received_;
    if (is_up == up_) {
        return;
    }
    up_ = is_up;
    if (!is_up) {
        const char* const reason = cause == "silent" ? "silent" : stopped_ ? "stopped" : "closed";
        context_.metrics.count("mesh_links_down_total", std::string("reason=\"") + reason + "\"");
    }
    spdlog::info("event=mesh_link peer={} up={} why=\"{}\"", peer_.id.str(), up_, cause);
    events_.on_link_change(*this, up_);
}

}  // namespace cranberrydock::mesh::detail
