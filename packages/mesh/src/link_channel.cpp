// Dialing, replacing and dropping the connections of one channel.
#include "link_channel.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace cranberrydock::mesh::detail {
namespace {

// The same pair of daemons draws other waits than every other pair does.
std::uint64_t backoff_seed(const base::daemon_id& self, const base::daemon_id& to) {
    return std::hash<std::string>{}(self.str() + "/" + to.str());
}

}  // namespace

link_channel::link_channel(const context& parts, peer to, channel which,
                           link_channel_events& events)
    : parts_(parts),
      peer_(std::move(to)),
      which_(which),
      events_(events),
      dials_(parts.settings.self < peer_.id),
      backoff_(backoff_seed(parts.settings.self, peer_.id)) {
    if (dials_) {
        dial();
    }
}

link_channel::~link_channel() {
    stop();
}

void link_channel::adopt(std::shared_ptr<connection> fresh) {
    if (dials_) {
        // The peer dials although it's this side's part: its id can't be what it says.
        retire(std::move(fresh));
        return;
    }
    fresh->set_events(*this);
    use(std::move(fresh));
}

void link_channel::stop() {
    stopped_ = true;
    redial_.reset();
    retire(std::exchange(dialing_, nullptr));
    drop_in_use();
}

bool link_channel::send(const std::string& frame) {
    return in_use_ && in_use_->send(frame);
}

void link_channel::watch(base::duration deadline, base::time_point since) {
    if (in_use_ && parts_.clock.now() - std::max(since, in_use_->last_heard()) > deadline) {
        reopen("silent");
    }
}

void link_channel::reopen(const std::string& why) {
    drop_in_use();
    dial_later();
    events_.on_channel_down(*this, why);
}

void link_channel::dial() {
    connection_events& self = *this;
    dialing_ = std::make_shared<connection>(parts_, peer_, which_, self);
}

void link_channel::dial_later() {
    if (!dials_ || stopped_) {
        return;
    }
    redial_ = parts_.loop.after(backoff_.next(), [this] {
        // Moved out first: assigning a new timer from within the old one's call would free it.
        const auto done = std::move(redial_);
        dial();
    });
}

void link_channel::use(std::shared_ptr<connection> fresh) {
    const bool replaced = is_open();
    drop_in_use();
    timing_ = round_trip();
    in_use_ = std::move(fresh);
    if (replaced) {
        events_.on_channel_down(*this, "replaced");
    }
    if (is_open()) {
        events_.on_channel_open(*this);
    }
}

void link_channel::drop_in_use() {
    if (!in_use_) {
        return;
    }
    last_heard_ = in_use_->last_heard();
    sent_ += in_use_->sent();
    received_ += in_use_->received();
    retire(std::exchange(in_use_, nullptr));
}

void link_channel::retire(std::shared_ptr<connection> old) {
    if (!old) {
        return;
    }
    old->close();
    parts_.retired_objects.keep(std::move(old));
}

void link_channel::on_proved(connection& /*from*/) {
    use(std::exchange(dialing_, nullptr));
}

void link_channel::on_frame(connection& from, const std::string& frame) {
    if (&from == in_use_.get()) {
        events_.on_channel_frame(*this, frame);
    }
}

void link_channel::on_closed(connection& from, const std::string& why) {
    if (&from == dialing_.get()) {
        retire(std::exchange(dialing_, nullptr));
        dial_later();
    } else if (&from == in_use_.get()) {
        reopen(why);
    }
}

}  // namespace cranberrydock::mesh::detail
