// The life of one connection: opening, proving, proved, closed.
#include "connection.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::mesh::detail {

connection::connection(const context& parts, const peer& to, channel which,
                       connection_events& events)
    : parts_(parts),
      events_(&events),
      dials_(true),
      proof_(parts.settings.secret, parts.settings.self, to.id, which),
      last_heard_(parts.clock.now()),
      socket_(parts.loop, to.address, *this),
      websocket_(parts.websockets.dialing(to.address.text(), *this)),
      opening_deadline_(parts.loop.after(parts.settings.silence_deadline,
                                         [this] { end("not open within the deadline"); })) {}

connection::connection(const context& parts, int accepted, connection_events& events)
    : parts_(parts),
      events_(&events),
      dials_(false),
      proof_(parts.settings.secret, parts.settings.self),
      last_heard_(parts.clock.now()),
      socket_(parts.loop, accepted, *this),
      websocket_(parts.websockets.accepting(*this)),
      opening_deadline_(parts.loop.after(parts.settings.silence_deadline, [this] {
          refuse_peer("deadline", "not proved within the deadline");
      })) {
    websocket_->start();
}

bool connection::send(const std::string& frame) {
    return state_ == state::proved && websocket_->send(frame);
}

void connection::close() {
    state_ = state::closed;
    opening_deadline_.reset();
    socket_.silence();
    socket_.set_reading(false);
}

void connection::on_connected() {
    websocket_->start();
}

void connection::on_bytes(const char* data, std::size_t n) {
    received_ += base::byte_count(static_cast<std::int64_t>(n));
    last_heard_ = parts_.clock.now();
    websocket_->receive(data, n);
}

void connection::on_stream_ended(const std::string& why) {
    end(why);
}

void connection::write_bytes(const char* data, std::size_t n) {
    if (state_ == state::closed) {
        return;
    }
    sent_ += base::byte_count(static_cast<std::int64_t>(n));
    socket_.write(data, n);
}

void connection::on_websocket_open() {
    if (state_ != state::opening) {
        return;
    }
    state_ = state::proving;
    if (dials_) {
        websocket_->send(proof_.hello());
    }
}

void connection::on_websocket_frame(const std::string& frame) {
    if (state_ == state::proving) {
        receive_proof(frame);
    } else if (state_ == state::proved) {
        events_->on_frame(*this, frame);
    }
}

void connection::receive_proof(const std::string& frame) {
    const auth_result result = proof_.receive(frame);
    if (!result) {
        refuse_peer("proof", base::to_string(result.error()));
        return;
    }
    if (!result->reply.empty()) {
        websocket_->send(result->reply);
    }
    if (result->proved) {
        state_ = state::proved;
        opening_deadline_.reset();
        parts_.metrics.count("mesh_connections_opened_total",
                             std::string("channel=\"") + to_string(which()) + "\"");
        events_->on_proved(*this);
    }
}

void connection::on_websocket_closed(const std::string& why) {
    if (state_ == state::proved) {
        // Sockets end elsewhere: this is a frame that the protocol or its size bound forbids.
        parts_.metrics.count("mesh_frames_refused_total", "reason=\"protocol\"");
        spdlog::warn(
            "event=mesh_frame_refused peer={} channel={} finding=\"expected a frame of at "
            "most {} bytes by the protocol, found: {}\"",
            peer_id().str(), to_string(which()), parts_.settings.max_frame.value(), why);
        end(why);
    } else if (state_ != state::closed) {
        refuse_peer("opening", why);
    }
}

void connection::refuse_peer(const char* reason, const std::string& why) {
    parts_.metrics.count("mesh_authentications_failed_total",
                         std::string("reason=\"") + reason + "\"");
    spdlog::warn("event=mesh_peer_refused reason={} finding=\"{}\"", reason, why);
    end(why);
}

void connection::end(const std::string& why) {
    if (state_ == state::closed) {
        return;
    }
    close();
    events_->on_closed(*this, why);
}

}  // namespace cranberrydock::mesh::detail
