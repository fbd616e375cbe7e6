// Ranks the VMs that have room for a task. Queues choose their scorer: most of them pack tightly,
// services spread over racks.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <cstddef>
#include <memory>

namespace cranberrydock::policy {

// What a scorer is given about a VM that has room for the task.
struct placement_option {
    base::resources room;              // free capacity of the VM
    base::resources capacity;          // total capacity of the VM
    std::size_t same_job_in_rack = 0;  // running tasks of the same job in the VM's rack
};

class placement_scorer {
public:
    virtual ~placement_scorer() = default;

    // Returns the cost of placing a task that needs `need` on this VM. The VM with the lowest cost
    // is chosen. The cost has no unit and is only compared with costs of the same scorer.
    virtual double cost(const base::resources& need, const placement_option& option) const = 0;

    // Returns true if `cost` reads same_job_in_rack. The count is only kept for such scorers.
    virtual bool uses_rack_counts() const { return false; }
};

// Minimises what stays free on the VM: the sum of squares of the free amounts, each resource as a
// fraction of the VM's capacity. Tasks without accelerators therefore avoid VMs with accelerators.
std::unique_ptr<placement_scorer> make_tight_fit_scorer();

// Prefers the rack with the fewest running tasks of the same job, and the tightest fit within that
// rack.
std::unique_ptr<placement_scorer> make_rack_spread_scorer();

}  // namespace cranberrydock::policy
