// The program standin_platform, which stands in for the users' platform.
#include "platform_server.hpp"
#include "standin_main.hpp"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on; port 0 takes a free port");

int main(int argc, char** argv) {
    using namespace cranberrydock;
    try {
        gflags::SetUsageMessage("stand-in for the platform; prints 'listening ADDRESS:PORT'");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        net::event_loop loop;
        const standins::platform_server server(loop, net::parse_endpoint(FLAGS_listen));
        standins::print_address(server.listen_endpoint());
        standins::serve_until_signaled(loop);
    } catch (const std::exception& error) {
        std::cerr << "standin_platform: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
