// The program standin_vm, which simulates the worker VMs of one or more availability zones.
#include "standin_main.hpp"
#include "vm_server.hpp"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

DEFINE_string(listen_address, "127.0.0.1",
              "address on which the VMs and the control routes listen");
DEFINE_string(platform, "",
              "ADDRESS:PORT of the stand-in platform at which the VMs are registered");
DEFINE_string(zones, "northcoast/northcoast-a",
              "availability zones as REGION/ZONE, separated by commas");
DEFINE_int32(count, 1, "VMs in each availability zone");
DEFINE_int32(per_rack, 8, "VMs in a rack");
DEFINE_string(id_prefix, "vm", "prefix of the ids PREFIX-ZONE-NUMBER");
DEFINE_int32(cores, 16, "cores of each VM");
DEFINE_int32(memory_mib, 65536, "memory of each VM, MiB");
DEFINE_int32(accelerators, 0, "accelerators of each VM");
DEFINE_int32(slots, 16, "slots of each VM");
DEFINE_int32(usage_lag_ms, 200, "delay with which reports show a task's usage, milliseconds");

namespace {

using namespace cranberrydock;

std::vector<standins::vm_zone> read_zones(const std::string& text) {
    std::vector<standins::vm_zone> out;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it, ',');) {
        const auto slash = it.find('/');
        if (slash == std::string::npos) {
            throw std::runtime_error("--zones: expected REGION/ZONE, found " + it);
        }
        out.push_back(
            {base::region_name(it.substr(0, slash)), base::zone_name(it.substr(slash + 1))});
    }
    return out;
}

standins::vm_server_settings settings_from_flags() {
    constexpr int millicores_per_core = 1'000;
    standins::vm_server_settings out;
    out.listen_address = FLAGS_listen_address;
    out.platform = net::parse_endpoint(FLAGS_platform);
    out.zones = read_zones(FLAGS_zones);
    out.vms_per_zone = FLAGS_count;
    out.vms_per_rack = FLAGS_per_rack;
    out.id_prefix = FLAGS_id_prefix;
    out.capacity = {base::millicores(FLAGS_cores * millicores_per_core),
                    base::mebibytes(FLAGS_memory_mib), base::accelerator_count(FLAGS_accelerators),
                    base::slot_count(FLAGS_slots)};
    out.usage_lag = base::milliseconds{FLAGS_usage_lag_ms};
    return out;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        gflags::SetUsageMessage("simulated worker VMs; prints 'listening ADDRESS:PORT'");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        net::event_loop loop;
        standins::vm_server* server = nullptr;
        standins::vm_server owned(loop, settings_from_flags(), [&server] {
            standins::print_address(server->listen_endpoint());
        });
        server = &owned;
        standins::serve_until_signaled(loop);
    } catch (const std::exception& error) {
        std::cerr << "standin_vm: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
