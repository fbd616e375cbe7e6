// Chooses VMs for tasks and reserves room on them: for a single task, for all tasks of a gang or
// none, and for single probes on VMs in quarantine.
#pragma once

#include "records.hpp"
#include "vm_health.hpp"
#include "vm_table.hpp"

#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

// A task and the amount to reserve for it.
struct sized_task {
    task_record* task = nullptr;
    base::resources reserve;
};

class placer {
public:
    placer(vm_table& vms, vm_health& health) : vms_(&vms), health_(&health) {}

    // Sets the VMs in quarantine that may get a probe now.
    void set_probe_candidates(std::vector<vm_index> ready_vms) {
        probe_candidates_ = std::move(ready_vms);
    }
    const std::vector<vm_index>& probe_candidates() const { return probe_candidates_; }

    // Reserves room for all tasks and returns their VMs in the same order. Returns an empty vector
    // and reserves nothing if there is no room for one of them. If `candidates` is not null, only
    // these VMs are searched.
    std::vector<vm_index> place(const std::vector<sized_task>& sized_tasks,
                                const std::vector<vm_index>* candidates);

    // Keep the counts per rack up to date that scorers use to spread a job over racks.
    void record_start(task_record& record);
    void record_end(const task_record& record);

private:
    std::optional<vm_index> find(const sized_task& request,
                                 const std::vector<vm_index>* candidates) const;
    std::optional<vm_index> place_probe(const sized_task& request);
    bool all_avoided(const sized_task& request) const;

    vm_table* vms_;
    vm_health* health_;
    std::vector<vm_index> probe_candidates_;
    std::unordered_map<base::job_id, rack_counts> racks_;  // jobs whose scorer uses rack counts
};

}  // namespace cranberrydock::policy
