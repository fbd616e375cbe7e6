// The states of one connection: opening, authenticating, authenticated, closed.
#include "connection.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::mesh::detail {

connection::connection(const context& ctx, const peer& remote, channel_kind kind,
                       connection_events& events)
    : context_(ctx),
      events_(&events),
      is_dialer_(true),
      authenticator_(ctx.settings.secret, ctx.settings.self, remote.id, kind),
      last_received_(ctx.clock.now()),
      socket_(ctx.loop, remote.address, *this),
      websocket_(ctx.websockets.make_client(remote.address.text(), *this)),
      opening_deadline_(ctx.loop.after(ctx.settings.peer_timeout,
                                       [this] { end("not open within the opening deadline"); })) {}

connection::connection(const context& ctx, int accepted_fd, connection_events& events)
    : context_(ctx),
      events_(&events),
      is_dialer_(false),
      authenticator_(ctx.settings.secret, ctx.settings.self),
      last_received_(ctx.clock.now()),
      socket_(ctx.loop, accepted_fd, *this),
      websocket_(ctx.websockets.make_server(*this)),
      opening_deadline_(ctx.loop.after(ctx.settings.peer_timeout, [this] {
          refuse_peer("deadline", "not authenticated within the opening deadline");
      })) {
    websocket_->start();
}

bool connection::send(const std::string& frame) {
    return state_ == state::authenticated && websocket_->send(frame);
}

void connection::close() {
    state_ = state::closed;
    opening_deadline_.reset();
    socket_.stop_events();
    socket_.set_reading(false);
}

void connection::on_connected() {
    websocket_->start();
}

void connection::on_bytes(const char* data, std::size_t n) {
    received_ += base::byte_count(static_cast<std::int64_t>(n));
    last_received_ = context_.clock.now();
    websocket_->receive(data, n);
}

void connection::on_stream_ended(const std::string& cause) {
    end(cause);
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
    state_ = state::authenticating;
    if (is_dialer_) {
        websocket_->send(authenticator_.hello());
    }
}

void connection::on_websocket_frame(const std::string& frame) {
    if (state_ == state::authenticating) {
        receive_authentication(frame);
    } else if (state_ == state::authenticated) {
        events_->on_frame(*this, frame);
    }
}

void connection::receive_authentication(const std::string& frame) {
    const auth_result result = authenticator_.receive(frame);
    if (!result) {
        refuse_peer("proof", base::to_string(result.error()));
        return;
    }
    if (!result->reply.empty()) {
        websocket_->send(result->reply);
    }
    if (result->authenticated) {
        state_ = state::authenticated;
        opening_deadline_.reset();
        context_.metrics.count("mesh_connections_opened_total",
                               std::string("channel=\"") + to_string(kind()) + "\"");
        events_->on_authenticated(*this);
    }
}

void connection::on_websocket_closed(const std::string& cause) {
    if (state_ == state::authenticated) {
        // Socket errors arrive in on_stream_ended(), so this is a frame that violates the protocol
        // or the size limit.
        context_.metrics.count("mesh_frames_refused_total", "reason=\"protocol\"");
        spdlog::warn(
            "event=mesh_frame_refused peer={} channel={} finding=\"expected a valid frame of at "
            "most {} bytes, found: {}\"",
            peer_id().str(), to_string(kind()), context_.settings.max_frame.value(), cause);
        end(cause);
    } else if (state_ != state::closed) {
        refuse_peer("opening", cause);
    }
}

void connection::refuse_peer(const char* reason, const std::string& cause) {
    context_.metrics.count("mesh_authentications_failed_total",
                           std::string("reason=\"") + reason + "\"");
    spdlog::warn("event=mesh_peer_refused reason={} finding=\"{}\"", reason, cause);
    end(cause);
}

void connection::end(const std::string& cause) {
    if (state_ == state::closed) {
        return;
    }
    close();
    events_->on_closed(*this, cause);
}

}  // namespace cranberrydock::mesh::detail
