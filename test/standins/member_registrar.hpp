// Registers the VMs of this process in the stand-in platform's member list.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/platform/member_list.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::standins {

// Use and destroy on the loop's thread.
class member_registrar {
public:
    // With a `platform` of port 0, sends nothing and reports each change as accepted.
    member_registrar(net::event_loop& loop, const net::endpoint& platform);

    // Sends the members until the platform has accepted them, then calls `done` on the loop's
    // thread.
    void register_all(const std::vector<platform::member>& members, std::function<void()> done);

    // Add or replace a member, or remove it. Readers of the list see the change after `lag`. The
    // change is sent once; a failure is logged.
    void register_member(const platform::member& changed, base::milliseconds lag);
    void remove_member(const base::vm_id& id, base::milliseconds lag);

private:
    void post(const std::string& body, std::function<void(bool)> done);

    net::event_loop& loop_;
    net::endpoint platform_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<net::timer> retry_timer_;
};

}  // namespace cranberrydock::standins
