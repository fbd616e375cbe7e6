// What every stand-in program does once it stands: it says where it listens, and serves until
// SIGTERM.
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http.hpp>

namespace cranberrydock::standins {

// Prints "listening ADDRESS:PORT", which whoever started the program waits for.
void announce(const net::endpoint& listening_on);

// Runs the loop until SIGTERM or SIGINT.
void serve_until_told(net::event_loop& loop);

}  // namespace cranberrydock::standins
