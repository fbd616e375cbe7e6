// The program standin_runner, which runs the plain HTTP runners of one availability zone.
#include "runner_server.hpp"
#include "standin_main.hpp"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(listen_address, "127.0.0.1",
              "address on which the runners and the control routes listen");
DEFINE_string(platform, "",
              "ADDRESS:PORT of the stand-in platform at which the runners are registered");
DEFINE_string(region, "northcoast", "region of the runners");
DEFINE_string(zone, "northcoast-a", "availability zone of the runners");
DEFINE_int32(count, 1, "runners");
DEFINE_string(id_prefix, "runner", "prefix of the ids PREFIX-ZONE-NUMBER");
DEFINE_int32(slots, 8, "requests that a runner runs at the same time");
DEFINE_int32(max_open, 60, "maximum number of open requests of a runner");

namespace {

using namespace cranberrydock;

standins::runner_server_settings settings_from_flags() {
    standins::runner_server_settings out;
    out.listen_address = FLAGS_listen_address;
    out.platform = net::parse_endpoint(FLAGS_platform);
    out.region = base::region_name(FLAGS_region);
    out.zone = base::zone_name(FLAGS_zone);
    out.count = FLAGS_count;
    out.id_prefix = FLAGS_id_prefix;
    out.slots = base::slot_count(FLAGS_slots);
    out.max_open = static_cast<std::size_t>(FLAGS_max_open);
    return out;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        gflags::SetUsageMessage("plain HTTP runners; prints 'listening ADDRESS:PORT'");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        net::event_loop loop;
        standins::runner_server* server = nullptr;
        standins::runner_server owned(loop, settings_from_flags(), [&server] {
            standins::print_address(server->listen_endpoint());
        });
        server = &owned;
        standins::serve_until_signaled(loop);
    } catch (const std::exception& error) {
        std::cerr << "standin_runner: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
