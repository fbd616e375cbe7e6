// One of the two channels of a link: keeps one connection to the peer alive. Dials and redials when
// it is this side's part, sends and hears beats, and closes a connection that has gone silent.
#pragma once

#include "backoff.hpp"
#include "connection.hpp"
#include "context.hpp"
#include "round_trip.hpp"

#include <memory>
#include <string>

namespace cranberrydock::mesh::detail {

class link_channel;

class link_channel_events {
public:
    virtual ~link_channel_events() = default;
    // A connection was proved and is in use.
    virtual void on_channel_open(link_channel& which) = 0;
    virtual void on_channel_frame(link_channel& which, const std::string& frame) = 0;
    // The connection in use has ended.
    virtual void on_channel_down(link_channel& which, const std::string& why) = 0;
};

class link_channel final : private connection_events {
public:
    // The daemon with the lower id dials, so that a pair never has two links.
    link_channel(const context& parts, peer to, channel which, link_channel_events& events);
    ~link_channel() override;
    link_channel(const link_channel&) = delete;
    link_channel& operator=(const link_channel&) = delete;

    // Takes a proved connection that the peer has dialed; it replaces an older one, which the peer
    // has given up.
    void adopt(std::shared_ptr<connection> fresh);

    // Ends the connections for good; nothing is told any more.
    void stop();

    bool send(const std::string& frame);

    // Closes the connection when it has been silent for `deadline`, counted from `since` at the
    // earliest.
    void watch(base::duration deadline, base::time_point since);

    // Closes the connection in use; a new one is to take its place.
    void reopen(const std::string& why);

    bool is_open() const { return in_use_ != nullptr; }
    channel which() const { return which_; }
    std::size_t unsent() const { return in_use_ ? in_use_->unsent() : 0; }
    base::time_point last_heard() const { return in_use_ ? in_use_->last_heard() : last_heard_; }
    base::byte_count sent() const { return sent_ + (in_use_ ? in_use_->sent() : none); }
    base::byte_count received() const { return received_ + (in_use_ ? in_use_->received() : none); }
    round_trip& timing() { return timing_; }
    const round_trip& timing() const { return timing_; }

    // Something was heard on the connection in use: the next redial starts from the shortest wait.
    void confirm() { backoff_.reset(); }

private:
    static constexpr base::byte_count none{0};

    void on_proved(connection& from) override;
    void on_frame(connection& from, const std::string& frame) override;
    void on_closed(connection& from, const std::string& why) override;

    void dial();
    void dial_later();
    void use(std::shared_ptr<connection> fresh);
    void drop_in_use();
    void retire(std::shared_ptr<connection> old);

    const context& parts_;
    peer peer_;
    channel which_;
    link_channel_events& events_;
    bool dials_;
    bool stopped_ = false;
    backoff backoff_;
    std::unique_ptr<net::timer> redial_;
    std::shared_ptr<connection> dialing_;  // not proved yet
    std::shared_ptr<connection> in_use_;   // proved
    round_trip timing_;
    base::time_point last_heard_{};  // on earlier connections
    base::byte_count sent_{0};       // on earlier connections
    base::byte_count received_{0};   // on earlier connections
};

}  // namespace cranberrydock::mesh::detail
