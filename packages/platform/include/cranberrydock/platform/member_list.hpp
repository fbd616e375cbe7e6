// The platform's list of live and leaving VMs. The list lags behind the fleet. It is a hint about
// which VMs exist, and does not prove that a VM has stopped running a task.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <functional>
#include <vector>

namespace cranberrydock::platform {

enum class member_role {
    entry,   // runs a cranberrydock daemon
    worker,  // runs tasks under leases
    runner,  // a plain HTTP upstream: no leases, no fencing
};

enum class member_state { live, leaving };

struct member {
    base::vm_id id;
    member_role role = member_role::worker;
    member_state state = member_state::live;
    net::endpoint address;
    base::region_name region;
    base::zone_name zone;
    base::rack_name rack;
    base::resources capacity;  // workers and runners
};

// Receives the complete list in the platform's latest version. The platform considers VMs that are
// not listed as gone.
using members_callback = std::function<void(tl::expected<std::vector<member>, store_error>)>;

class member_list {
public:
    virtual ~member_list() = default;
    virtual void read(members_callback done) = 0;
};

}  // namespace cranberrydock::platform
