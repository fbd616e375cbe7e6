// Lets an owner use plain HTTP runners as it uses VMs: answers the VM protocol on their behalf,
// from what this process itself has sent them.
//
// A runner can neither fence nor report. So its incarnation is this adapter: after a change of
// owner the next one finds another incarnation, and work that may not be repeated and was under way
// there ends as outcome_unknown. A new owner's adapter offers no slots until `settling` has passed,
// while requests of the earlier owner may still occupy them; beyond that the runner's own refusals
// hold.
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

struct runner_vms_settings {
    base::milliseconds request_timeout{600'000};  // after which a runner's answer counts as lost
    base::milliseconds settling{10'000};
};

// Use and destroy on the loop's thread; everything that it is given must outlive it.
class runner_vms final : public vm_client {
public:
    // Commands to addresses that are no runner's go to `workers`.
    runner_vms(vm_client& workers, runner_client& runners, net::event_loop& loop,
               const base::clock& clock, const runner_vms_settings& settings);
    ~runner_vms() override;
    runner_vms(const runner_vms&) = delete;
    runner_vms& operator=(const runner_vms&) = delete;

    // Takes over the member list's runners; others in it are passed over.
    void set_members(const std::vector<member>& members);

    void send(const net::endpoint& vm, vm_command command, base::milliseconds timeout,
              vm_callback done) override;

private:
    class runner;

    vm_client& workers_;
    runner_client& runners_;
    net::event_loop& loop_;
    const base::clock& clock_;
    runner_vms_settings settings_;
    std::map<net::endpoint, std::unique_ptr<runner>> by_address_;
};

}  // namespace cranberrydock::platform
