// An event loop, based on libevent. The thread that runs it owns its sockets, timers and state;
// other threads post work to it through a bounded mailbox.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <memory>

struct event_base;

namespace cranberrydock::net {

// Blocks these signals on the calling thread, and on the threads that it starts afterwards, until
// event_loop::on_signal() unblocks them. A signal that arrives during start-up then can't terminate
// the process before it is able to shut down gracefully.
void block_signals(std::initializer_list<int> signal_numbers);

// A pending timer or a registered signal handler. Destroying it cancels it.
class timer {
public:
    virtual ~timer() = default;
};

class event_loop {
public:
    // `mailbox_bound`: the number of waiting messages at which post() rejects further ones.
    explicit event_loop(std::size_t mailbox_bound = default_mailbox_bound);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs the loop on the calling thread until stop().
    void run();

    // Ends run(). Safe from any thread.
    void stop();

    // Queues `message` to run on the loop's thread. Returns false, without queueing it, if the
    // mailbox is full. Safe from any thread; messages run in the order in which they were posted.
    bool post(std::function<void()> message);

    // Calls `action` once after `delay`. Call this only on the loop's thread, or before run().
    std::unique_ptr<timer> after(base::duration delay, std::function<void()> action);

    // Calls `action` every `period` until the timer is destroyed. Call this only on the loop's
    // thread, or before run().
    std::unique_ptr<timer> every(base::duration period, std::function<void()> action);

    // Calls `action` on the loop's thread each time the process receives `signal_number`, until the
    // result is destroyed. Unblocks the signal if block_signals() has blocked it. Call this only on
    // the thread that runs the loop.
    std::unique_ptr<timer> on_signal(int signal_number, std::function<void()> action);

    // The underlying libevent base, owned by this loop.
    event_base* raw() const;

    static constexpr std::size_t default_mailbox_bound = 100'000;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace cranberrydock::net
