// An adapter that lets an owner use plain HTTP runners like VMs. It answers the VM protocol on
// behalf of the runners, from the requests that this process has sent to them.
//
// A runner can neither fence requests nor report its state, so the adapter has an incarnation of
// its own for each runner. After a change of owner the new owner finds another incarnation, and
// work that was in progress and is not repeatable ends as outcome_unknown. A new owner's adapter
// offers no slots until `settling_time` has passed, because requests of the previous owner may
// still occupy them. After that the runner's own refusals limit the load.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/runner_client.hpp>
#include <cranberrydock/platform/vm_client.hpp>

#include <map>
#include <memory>
#include <vector>

namespace cranberrydock::platform {

struct runner_vm_adapter_settings {
    base::milliseconds request_timeout{600'000};  // then a runner's answer counts as lost
    base::milliseconds settling_time{10'000};
};

// Must be used and destroyed on the loop's thread. All objects passed by reference must outlive it.
class runner_vm_adapter final : public vm_client {
public:
    // Commands to addresses that do not belong to a runner are forwarded to `workers`.
    runner_vm_adapter(vm_client& workers, runner_client& runners, net::event_loop& loop,
                      const base::clock& clock, const runner_vm_adapter_settings& settings);
    ~runner_vm_adapter() override;
    runner_vm_adapter(const runner_vm_adapter&) = delete;
    runner_vm_adapter& operator=(const runner_vm_adapter&) = delete;

    // Adds or updates the runners in the member list. Other members are ignored.
    void set_members(const std::vector<member>& members);

    void send(const net::endpoint& vm, vm_command command, base::milliseconds timeout,
              vm_callback done) override;

private:
    class runner;

    vm_client& workers_;
    runner_client& runners_;
    net::event_loop& loop_;
    const base::clock& clock_;
    runner_vm_adapter_settings settings_;
    std::map<net::endpoint, std::unique_ptr<runner>> by_address_;
};

}  // namespace cranberrydock::platform
