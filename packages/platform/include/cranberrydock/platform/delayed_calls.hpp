// Schedules calls on an event loop. Pending calls are cancelled when the object is destroyed.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cranberrydock::platform {

// Must be used and destroyed on the loop's thread.
class delayed_calls {
public:
    explicit delayed_calls(net::event_loop& loop);

    // Invokes `call` after `delay`, never from within after(). Calls without delay run in the order
    // in which they were scheduled, unless the loop's mailbox is full.
    void after(base::duration delay, std::function<void()> call);

private:
    void start_timer(base::duration delay, std::function<void()> call);

    net::event_loop& loop_;
    std::uint64_t next_timer_ = 0;
    std::map<std::uint64_t, std::unique_ptr<net::timer>> timers_;
    // Posted calls hold a weak reference and do nothing after this object is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cranberrydock::platform
