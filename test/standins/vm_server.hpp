// Many simulated VMs in one process, with one checker of their runs and the routes to control their
// faults. One process serves the VMs of several availability zones, so that the checker sees every
// VM that a task can run on.
//
//   GET /judge          the JSON of run_checker::json()
//   GET /control/vms    {"vms":[{"id","address","region","zone","incarnation","alive","running",
//                       "unacknowledged","last_start_after_leave_ms"}]}
//   POST /control/vm    {"vm":"ID","action":"..."} with action one of
//     freeze, unfreeze, silence, lose_answers, speak,
//     delay ("command_ms", "answer_ms"), fail_everything ("on", default true),
//     start_rogue ("task", "uses_memory_mib"),
//     kill, replace, leave (these also update the platform's member list, which shows the change
//     after "lag_ms"; "tell_platform": false leaves the list as it is)
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "control_routes.hpp"
#include "member_registrar.hpp"
#include "run_checker.hpp"
#include "vm_host.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct vm_zone {
    base::region_name region;
    base::zone_name zone;
};

struct vm_server_settings {
    std::string listen_address;  // of the VMs and of the control routes; all use free ports
    net::endpoint platform;      // where to register the VMs; port 0: do not register them
    std::vector<vm_zone> zones;
    int vms_per_zone = 1;
    int vms_per_rack = 8;
    std::string id_prefix = "vm";  // the ids are PREFIX-ZONE-NUMBER, counted from 1
    base::resources capacity;      // of each VM
    base::milliseconds usage_lag{200};
};

// Use and destroy on `loop`'s thread.
class vm_server {
public:
    // Calls `ready` once the platform's member list holds all VMs.
    vm_server(net::event_loop& loop, const vm_server_settings& settings,
              std::function<void()> ready);

    net::endpoint listen_endpoint() const { return server_->listen_endpoint(); }
    const run_checker& checker() const { return checker_; }

private:
    using action = std::function<void(vm_host&, const net::http_request&)>;

    void make_vms(const vm_server_settings& settings);
    void add_routes();
    void add_actions();
    void command_vm(const net::http_request& request);
    void register_all(std::function<void()> ready);
    void update_member_list(const vm_host& vm, const net::http_request& request);
    std::string list_vms() const;

    net::event_loop& loop_;
    base::monotonic_clock clock_;
    run_checker checker_;
    std::map<base::vm_id, std::unique_ptr<vm_host>> vms_;
    std::map<std::string, action> actions_;
    route_table routes_;
    member_registrar registrar_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace cranberrydock::standins
