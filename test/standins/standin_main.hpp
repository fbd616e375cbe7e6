// Functions for the main() of every stand-in program: print the listening address and serve until
// SIGTERM.
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

namespace cranberrydock::standins {

// Prints "listening ADDRESS:PORT". The process that started the program waits for this line.
void print_address(const net::endpoint& listen_endpoint);

// Runs the loop until SIGTERM or SIGINT.
void serve_until_signaled(net::event_loop& loop);

}  // namespace cranberrydock::standins
