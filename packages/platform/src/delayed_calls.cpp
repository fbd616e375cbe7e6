// Schedules calls on an event loop.
#include <cranberrydock/platform/delayed_calls.hpp>

#include <utility>

namespace cranberrydock::platform {

delayed_calls::delayed_calls(net::event_loop& loop) : loop_(loop) {}

void delayed_calls::after(base::duration delay, std::function<void()> call) {
    if (delay > base::duration{0}) {
        start_timer(delay, std::move(call));
        return;
    }
    const bool posted = loop_.post([alive = std::weak_ptr<bool>(alive_), call] {
        if (alive.lock()) {
            call();
        }
    });
    if (!posted) {
        // The mailbox is full. A timer does not use it.
        start_timer(base::duration{0}, std::move(call));
    }
}

void delayed_calls::start_timer(base::duration delay, std::function<void()> call) {
    const std::uint64_t number = next_timer_++;
    timers_[number] = loop_.after(delay, [this, number, call = std::move(call)] {
        timers_.erase(number);
        call();
    });
}

}  // namespace cranberrydock::platform
