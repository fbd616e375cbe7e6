// The loopback network of a soak: links that forward connections and simulate faults on request, on
// a thread of their own.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include "standins/relay.hpp"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace cranberrydock::soak {

enum class link_fault {
    delay,       // in each direction, until the fault ends
    reset,       // open connections are closed
    silence,     // open connections drop all bytes for good
    black_hole,  // new connections drop all bytes too, until the fault ends
    one_way,     // answers are dropped, until the fault ends
    refuse,      // open connections are closed and new ones refused, until the fault ends
};

class network {
public:
    network();
    ~network();
    network(const network&) = delete;
    network& operator=(const network&) = delete;

    // Adds a link to `target` and returns the address to connect to instead.
    net::endpoint add(const net::endpoint& target);
    std::size_t size() const { return links_.size(); }

    void begin(std::size_t link, link_fault fault, base::milliseconds delay);
    void end(std::size_t link);

private:
    void on_loop(const std::function<void()>& action);

    net::event_loop loop_;
    base::monotonic_clock clock_;
    std::vector<std::unique_ptr<standins::relay_link>> links_;  // used on the loop's thread only
    std::thread thread_;
};

}  // namespace cranberrydock::soak
