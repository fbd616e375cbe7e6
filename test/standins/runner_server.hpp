// Many plain HTTP runners in one process, with one checker of their runs.
//
//   GET /judge              the JSON of run_checker::json()
//   GET /control/runners    {"runners":[{"id","address","alive","running",
//                            "last_request_after_leave_ms"}]}
//   POST /control/runner    {"runner":"ID","action":"..."} with action one of silence, speak,
//     fail_everything ("on", default true), kill, replace, leave; the last three also update
//     the platform's member list, which shows the change after "lag_ms"
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "control_routes.hpp"
#include "member_registrar.hpp"
#include "run_checker.hpp"
#include "runner_host.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberrydock::standins {

struct runner_server_settings {
    std::string listen_address;
    net::endpoint platform;  // where to register the runners; port 0: do not register them
    base::region_name region;
    base::zone_name zone;
    int count = 1;
    std::string id_prefix = "runner";  // the ids are PREFIX-ZONE-NUMBER, counted from 1
    base::slot_count slots{8};
    std::size_t max_open = 60;
};

// Use and destroy on the loop's thread.
class runner_server {
public:
    // Calls `ready` once the platform's member list holds all runners.
    runner_server(net::event_loop& loop, const runner_server_settings& settings,
                  std::function<void()> ready);

    net::endpoint listen_endpoint() const { return server_->listen_endpoint(); }

private:
    void add_routes();
    void command_runner(const net::http_request& request);
    platform::member member_of(const runner_host& runner) const;
    std::string list_runners() const;

    runner_server_settings settings_;
    base::monotonic_clock clock_;
    run_checker checker_;
    std::map<base::vm_id, std::unique_ptr<runner_host>> runners_;
    route_table routes_;
    member_registrar registrar_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace cranberrydock::standins
