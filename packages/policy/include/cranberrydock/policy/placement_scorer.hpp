// How good a VM is for a task, among the VMs that have room for it. An interface, so that queues
// can want different things: most pack tightly, services spread over racks.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <memory>

namespace cranberrydock::policy {

// A VM that has room, as a scorer sees it.
struct placement_option {
    base::resources room;              // what is left on the VM
    base::resources capacity;          // of the whole VM
    std::size_t same_job_in_rack = 0;  // running tasks of the same job in the VM's rack
};

class placement_scorer {
public:
    virtual ~placement_scorer() = default;

    // The cost of placing `need` there; the option with the lowest cost is taken. No unit.
    virtual double cost(const base::resources& need, const placement_option& option) const = 0;

    // Whether `cost` looks at same_job_in_rack, which has to be counted first.
    virtual bool wants_racks() const { return false; }
};

// Leaves the least unused: the smallest sum of squares of what stays free, each resource as a part
// of the VM's capacity. Tasks without accelerators keep away from VMs that have them.
std::unique_ptr<placement_scorer> make_tight_fit_scorer();

// Takes the rack with the fewest tasks of the same job, and fits tightly within it.
std::unique_ptr<placement_scorer> make_rack_spread_scorer();

}  // namespace cranberrydock::policy
