// Addresses and ports on loopback for the daemons that a test starts. The settings of a daemon name
// its port before it listens, so the port must stay free until then.
#pragma once

#include <cstdint>
#include <string>

namespace cranberrydock::standins {

// An address that is derived from the process id and the number, which is below 250. Concurrent
// tests on this machine have different ones.
std::string loopback_address(int number);

// A port on which no process listens at `address`. This process gets each port once, until it has
// used up thousands of them. The kernel gives none of them to a connection or to a listener on
// port 0. Throws std::runtime_error if there is none.
std::uint16_t unused_port(const std::string& address);

}  // namespace cranberrydock::standins
