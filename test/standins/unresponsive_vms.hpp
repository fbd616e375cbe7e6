// VMs and an advisor that accept every command and query and answer none, for tests of the parts of
// a daemon on the test's own event loop.
#pragma once

#include <cranberrydock/fleet/vm_control.hpp>

namespace cranberrydock::standins {

class unresponsive_vms : public fleet::vm_control, public fleet::placement_advisor {
public:
    void start(const fleet::vm_info& /*vm*/, fleet::fencing_token /*owner*/,
               const fleet::start_command& /*order*/, fleet::start_callback /*done*/) override {}
    void stop(const fleet::vm_info& /*vm*/, fleet::fencing_token /*owner*/,
              const fleet::task_ref& /*task*/, fleet::run_number /*run*/,
              fleet::stop_callback /*done*/) override {}
    void watch(const fleet::vm_info& /*vm*/, fleet::fencing_token /*owner*/,
               const fleet::watch_command& /*order*/, fleet::watch_callback /*done*/) override {}
    void query(const fleet::placement_query& /*question*/, base::milliseconds /*timeout*/,
               fleet::placement_callback /*done*/) override {}
};

}  // namespace cranberrydock::standins
