// Calls that are made later on an event loop, and are dropped when their owner goes.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cranberrydock::platform {

// Use and destroy on the loop's thread.
class delayed_calls {
public:
    explicit delayed_calls(net::event_loop& loop);

    // Makes `call` after `delay`, never inside this call. Calls without delay keep their order.
    void after(base::duration delay, std::function<void()> call);

private:
    void arm(base::duration delay, std::function<void()> call);

    net::event_loop& loop_;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<net::timer>> timers_;
    // Posted calls hold it weakly, so that they do nothing once the owner is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cranberrydock::platform
