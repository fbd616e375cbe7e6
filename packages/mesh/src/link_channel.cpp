// Dials, replaces and drops the connections of one channel.
#include "link_channel.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// Each pair of daemons has its own seed, so that pairs draw different waits.
std::uint64_t backoff_seed(const base::daemon_id& self, const base::daemon_id& remote) {
    return std::hash<std::string>{}(self.str() + "/" + remote.str());
}

}  // namespace

link_channel::link_channel(const context& ctx, peer remote, channel_kind kind,
                           link_channel_events& events)
    : context_(ctx),
      peer_(std::move(remote)),
      kind_(kind),
      events_(events),
      is_dialer_(ctx.settings.self < peer_.id),
      backoff_(backoff_seed(ctx.settings.self, peer_.id)) {
    if (is_dialer_) {
        dial();
    }
}

link_channel::~link_channel() {
    stop();
}

void link_channel::adopt(std::shared_ptr<connection> fresh) {
    if (is_dialer_) {
        // This side dials, so the peer must not: it does not have the id that it claims.
        retire(std::move(fresh));
        return;
    }
    fresh->set_events(*this);
    activate(std::move(fresh));
}

void link_channel::stop() {
    stopped_ = true;
    redial_.reset();
    retire(std::exchange(pending_, nullptr));
    drop_active();
}

bool link_channel::send(const std::string& frame) {
    return active_ && active_->send(frame);
}

void link_channel::check_liveness(base::duration deadline, base::time_point since) {
    if (active_ && context_.clock.now() - std::max(since, active_->last_received()) > deadline) {
        reopen("silent");
    }
}

void link_channel::reopen(const std::string& cause) {
    drop_active();
    dial_later();
    events_.on_channel_down(*this, cause);
}

void link_channel::dial() {
    connection_events& self = *this;
    pending_ = std::make_shared<connection>(context_, peer_, kind_, self);
}

void link_channel::dial_later() {
    if (!is_dialer_ || stopped_) {
        return;
    }
    redial_ = context_.loop.after(backoff_.next(), [this] {
        // Move the timer out first: assigning a new timer during this callback would destroy the
        // timer that is running it.
        const auto expired_timer = std::move(redial_);
        dial();
    });
}

void link_channel::activate(std::shared_ptr<connection> fresh) {
    const bool replaced = is_open();
    drop_active();
    timing_ = round_trip();
    active_ = std::move(fresh);
    if (replaced) {
        events_.on_channel_down(*this, "replaced");
    }
    if (is_open()) {
        events_.on_channel_open(*this);
    }
}

void link_channel::drop_active() {
    if (!active_) {
        return;
    }
    last_received_ = active_->last_received();
    sent_ += active_->sent();
    received_ += active_->received();
    retire(std::exchange(active_, nullptr));
}

void link_channel::retire(std::shared_ptr<connection> old) {
    if (!old) {
        return;
    }
    old->close();
    context_.deferred_deletions.schedule(std::move(old));
}

void link_channel::on_authenticated(connection& /*from*/) {
    activate(std::exchange(pending_, nullptr));
}

void link_channel::on_frame(connection& from, const std::string& frame) {
    if (&from == active_.get()) {
        events_.on_channel_frame(*this, frame);
    }
}

void link_channel::on_closed(connection& from, const std::string& cause) {
    if (&from == pending_.get()) {
        retire(std::exchange(pending_, nullptr));
        dial_later();
    } else if (&from == active_.get()) {
        reopen(cause);
    }
}

}  // namespace cranberrydock::mesh::detail
