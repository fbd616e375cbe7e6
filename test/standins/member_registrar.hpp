// Tells the stand-in platform's member list about the VMs of this process.
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
    // Does nothing, and calls it done, when `platform` has port 0.
    member_registrar(net::event_loop& loop, const net::endpoint& platform);

    // Tells them until the platform has taken them, then calls `done`.
    void put_all(const std::vector<platform::member>& members, std::function<void()> done);

    // Readers of the list see these after `lag`.
    void put(const platform::member& one, base::milliseconds lag);
    void remove(const base::vm_id& id, base::milliseconds lag);

private:
    void post(const std::string& body, std::function<void(bool)> done);

    net::event_loop& loop_;
    net::endpoint platform_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<net::timer> again_;
};

}  // namespace cranberrydock::standins
