// The event loop: one thread that owns its sockets, timers and state, and a bounded mailbox through
// which other threads hand it work. Wraps libevent.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <memory>

struct event_base;

namespace cranberrydock::net {

// Holds these signals back on the calling thread, and on those that it starts from now on, until a
// loop catches them: they must not end the process before it can stop gracefully.
void hold_signals(std::initializer_list<int> signal_numbers);

// A pending timer; destroying it cancels it.
class timer {
public:
    virtual ~timer() = default;
};

class event_loop {
public:
    // `mailbox_bound`: messages that may wait before post() refuses more.
    explicit event_loop(std::size_t mailbox_bound = default_mailbox_bound);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs on the calling thread until stop().
    void run();

    // Ends run(). Safe from any thread.
    void stop();

    // Hands `message` to the loop's thread; false when the mailbox is full, and then it was not
    // taken. Safe from any thread; messages run in the order of their posting.
    bool post(std::function<void()> message);

    // Calls `action` once after `delay`. Only from the loop's own thread, or before run().
    std::unique_ptr<timer> after(base::duration delay, std::function<void()> action);

    // Calls `action` every `period` until the timer is destroyed. Same rule.
    std::unique_ptr<timer> every(base::duration period, std::function<void()> action);

    // Calls `action` on the loop's thread when the process receives `signal_number`. Lets through
    // what hold_signals() holds back of it. Only from the thread that runs the loop.
    std::unique_ptr<timer> on_signal(int signal_number, std::function<void()> action);

    event_base* raw() const;

    static constexpr std::size_t default_mailbox_bound = 100'000;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::net
