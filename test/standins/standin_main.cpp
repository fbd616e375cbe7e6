// Prints the listening address and runs the loop.
#include "standin_main.hpp"

#include <csignal>
#include <iostream>

namespace cranberrydock::standins {

void print_address(const net::endpoint& listen_endpoint) {
    std::cout << "listening " << listen_endpoint.text() << std::endl;
}

void serve_until_signaled(net::event_loop& loop) {
    const auto on_term = loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
}

}  // namespace cranberrydock::standins
