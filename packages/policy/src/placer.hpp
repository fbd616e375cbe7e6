// Finds VMs for tasks and takes their room: one by one, all of a gang or none, and single probes on
// VMs that are in quarantine.
#pragma once

#include "records.hpp"
#include "vm_health.hpp"
#include "vm_table.hpp"

#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

// A task with what is to be reserved for it.
struct placement_wish {
    task_record* task = nullptr;
    base::resources reserve;
};

class placer {
public:
    placer(vm_table& vms, vm_health& health) : vms_(&vms), health_(&health) {}

    // VMs in quarantine whose time for a probe has come.
    void set_probes(std::vector<vm_index> due) { probes_ = std::move(due); }
    const std::vector<vm_index>& probes() const { return probes_; }

    // Takes room for every wish and returns the VMs in the wishes' order; for none, and empty, when
    // there is no room for all. With `candidates` only those VMs are searched; null: all.
    std::vector<vm_index> take(const std::vector<placement_wish>& wishes,
                               const std::vector<vm_index>* candidates);

    // The task runs on the VM, or no longer does: what spreading over racks goes by.
    void note_running(task_record& one);
    void note_ended(const task_record& one);

private:
    std::optional<vm_index> find(const placement_wish& wish,
                                 const std::vector<vm_index>* candidates) const;
    std::optional<vm_index> take_probe(const placement_wish& wish);
    bool all_avoided(const placement_wish& wish) const;

    vm_table* vms_;
    vm_health* health_;
    std::vector<vm_index> probes_;
    std::unordered_map<base::job_id, rack_counts> racks_;  // of jobs whose scorer wants racks
};

}  // namespace cranberrydock::policy
