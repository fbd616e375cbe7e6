// The event loop, based on libevent.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <deque>
#include <mutex>
#include <utility>

namespace cranberrydock::net {
namespace {

timeval to_timeval(base::duration d) {
    const auto n = d.count() < 0 ? 0 : d.count();
    constexpr std::int64_t microseconds_per_second = 1'000'000;
    timeval out{};
    out.tv_sec = n / microseconds_per_second;
    out.tv_usec = n % microseconds_per_second;
    return out;
}

void init_libevent() {
    static const bool initialized = [] {
        std::signal(SIGPIPE, SIG_IGN);
        return evthread_use_pthreads() == 0;
    }();
    CRANBERRYDOCK_CHECK(initialized, "libevent could not enable thread support");
}

class event_timer final : public timer {
public:
    event_timer(event_base* base, int fd, short events, std::function<void()> action)
        : action_(std::move(action)),
          event_(event_new(base, fd, events, &event_timer::fire, this)) {}
    event_timer(const event_timer&) = delete;
    event_timer& operator=(const event_timer&) = delete;
    ~event_timer() override { event_free(event_); }

    void arm(const timeval* delay) { event_add(event_, delay); }

private:
    static void fire(evutil_socket_t /*fd*/, short /*events*/, void* self) {
        // Copied, because the action may destroy this timer.
        const auto action = static_cast<event_timer*>(self)->action_;
        action();
    }

    std::function<void()> action_;
    event* event_;
};

sigset_t make_sigset(std::initializer_list<int> signal_numbers) {
    sigset_t out;
    sigemptyset(&out);
    for (const int it : signal_numbers) {
        sigaddset(&out, it);
    }
    return out;
}

}  // namespace

void block_signals(std::initializer_list<int> signal_numbers) {
    const sigset_t blocked = make_sigset(signal_numbers);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

struct event_loop::state {
    event_base* base = nullptr;
    event* wakeup_event = nullptr;
    std::size_t mailbox_bound = 0;
    std::mutex mutex;  // guards mailbox
    std::deque<std::function<void()>> mailbox;

    static void run_messages(evutil_socket_t /*fd*/, short /*events*/, void* self) {
        auto* loop = static_cast<state*>(self);
        std::deque<std::function<void()>> batch;
        {
            const std::lock_guard lock(loop->mutex);
            batch.swap(loop->mailbox);
        }
        for (auto& it : batch) {
            it();
        }
    }
};

event_loop::event_loop(std::size_t mailbox_bound) : state_(std::make_unique<state>()) {
    init_libevent();
    state_->base = event_base_new();
    CRANBERRYDOCK_CHECK(state_->base != nullptr, "libevent could not create an event base");
    // With two priorities, libevent assigns the lower one to events by default.
    constexpr int priorities = 2;
    CRANBERRYDOCK_CHECK(event_base_priority_init(state_->base, priorities) == 0,
                        "libevent could not enable priorities");
    state_->mailbox_bound = mailbox_bound;
    state_->wakeup_event =
        event_new(state_->base, -1, EV_PERSIST, &state::run_messages, state_.get());
}

event_loop::~event_loop() {
    event_free(state_->wakeup_event);
    event_base_free(state_->base);
}

void event_loop::run() {
    // Messages may have been posted before the loop started.
    event_active(state_->wakeup_event, EV_TIMEOUT, 0);
    event_base_loop(state_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
    event_base_loopbreak(state_->base);
}

bool event_loop::post(std::function<void()> message) {
    {
        const std::lock_guard lock(state_->mutex);
        if (state_->mailbox.size() >= state_->mailbox_bound) {
            return false;
        }
        state_->mailbox.push_back(std::move(message));
    }
    event_active(state_->wakeup_event, EV_TIMEOUT, 0);
    return true;
}

std::unique_ptr<timer> event_loop::after(base::duration delay, std::function<void()> action) {
    auto out = std::make_unique<event_timer>(state_->base, -1, EV_TIMEOUT, std::move(action));
    const timeval tv = to_timeval(delay);
    out->arm(&tv);
    return out;
}

std::unique_ptr<timer> event_loop::every(base::duration period, std::function<void()> action) {
    auto out = std::make_unique<event_timer>(state_->base, -1, EV_PERSIST, std::move(action));
    const timeval tv = to_timeval(period);
    out->arm(&tv);
    return out;
}

std::unique_ptr<timer> event_loop::on_signal(int signal_number, std::function<void()> action) {
    auto out = std::make_unique<event_timer>(state_->base, signal_number, EV_SIGNAL | EV_PERSIST,
                                             std::move(action));
    out->arm(nullptr);
    const sigset_t unblocked = make_sigset({signal_number});
    pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
    return out;
}

event_base* event_loop::raw() const {
    return state_->base;
}

}  // namespace cranberrydock::net
