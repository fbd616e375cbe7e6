// Asks placement questions through all daemons: the adviser serves one call at a time for each VM
// that calls it.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/adviser_choice.hpp>
#include <cranberrydock/steward/lifetime.hpp>
#include <cranberrydock/steward/peer_calls.hpp>

#include <map>
#include <memory>
#include <string>

namespace cranberrydock::steward {

class adviser_pool {
public:
    // `own`: asks from this VM.
    adviser_pool(fleet::placement_adviser& own, base::metrics& metrics);

    // The other daemons, by the names of their VMs.
    void set_peers(const std::map<std::string, std::shared_ptr<peer>>& peers);

    fleet::adviser_room room() const { return choice_.room(clock_.now()); }
    void ask(const fleet::advice_question& question, const fleet::advice_done& done);

private:
    fleet::placement_adviser& own_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, std::shared_ptr<peer>> peers_;
    fleet::adviser_choice choice_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
