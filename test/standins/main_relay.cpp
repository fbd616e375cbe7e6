// The program standin_relay, a TCP relay that simulates the network between the processes of a
// cluster.
#include "relay.hpp"
#include "standin_main.hpp"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(listen_address, "127.0.0.1",
              "address on which the links and the control routes listen");

int main(int argc, char** argv) {
    using namespace cranberrydock;
    try {
        gflags::SetUsageMessage("TCP relay with simulated faults; prints 'listening ADDRESS:PORT'");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        net::event_loop loop;
        const standins::relay relay(loop, FLAGS_listen_address);
        standins::print_address(relay.listen_endpoint());
        standins::serve_until_signaled(loop);
    } catch (const std::exception& error) {
        std::cerr << "standin_relay: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
