// The stand-in for the users' platform: table service, object store and member list over HTTP, with
// faults that a test can set.
//
//   POST /v1/table/read, /v1/table/scan, /v1/table/commit    CBOR, see store_codec.hpp
//   GET, PUT /v1/objects?name=NAME    GET /v1/members
//   POST /control/faults
//   {"down":b,"silent":b,"slow_ms":n,"slow_answer_ms":n,"lost_applied_commits":n,
//                            "lost_unapplied_commits":n,"lose_permille":n,"seed":n}; a field that
//                            is left out has its value without faults; with "silent" the /v1 routes
//                            send no response
//   POST /control/members   {"lag_ms":n,"members":[...],"gone":["vm-1"],"replace_all":b}
//   GET /control/counters
#pragma once

#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/platform/delayed_calls.hpp>
#include <cranberrydock/platform/memory_platform.hpp>

#include "control_routes.hpp"

#include <memory>

namespace cranberrydock::standins {

// Use and destroy on `loop`'s thread.
class platform_server {
public:
    platform_server(net::event_loop& loop, const net::endpoint& listen);

    net::endpoint listen_endpoint() const { return server_->listen_endpoint(); }
    // The platform's content, for tests in the same process.
    platform::memory_platform& state() { return *state_; }

private:
    void add_table_routes();
    void add_object_routes();
    void add_control_routes();
    void set_faults(const net::http_request& request);
    void set_members(const net::http_request& request);

    // Calls `work` and responds with its result, with the faults in force.
    void serve(net::http_responder respond, std::function<net::http_response()> work);

    base::monotonic_clock clock_;
    std::shared_ptr<platform::memory_platform> state_;
    bool unresponsive_ = false;
    platform::delayed_calls delayed_calls_;
    route_table routes_;
    std::unique_ptr<net::http_server> server_;
};

}  // namespace cranberrydock::standins
