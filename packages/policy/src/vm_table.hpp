// The VMs of the cell: the free capacity of each, and the search for a VM with room for a task.
#pragma once

#include <cranberrydock/policy/placement_scorer.hpp>
#include <cranberrydock/policy/scheduler.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cranberrydock::policy {

using vm_index = base::strong_number<struct vm_index_tag, std::uint32_t>;

// Running tasks of one job per rack. Racks without tasks may be missing.
struct rack_counts {
    std::map<std::uint32_t, std::size_t> tasks;

    std::size_t count_in(std::uint32_t rack) const {
        const auto it = tasks.find(rack);
        return it == tasks.end() ? 0 : it->second;
    }
};

// The parameters of a search for a VM.
struct placement_request {
    const base::resources& need;
    const std::vector<base::vm_id>& avoid;
    const placement_scorer& scorer;
    const rack_counts* same_job = nullptr;              // null if the job has no running tasks
    const std::vector<vm_index>* candidates = nullptr;  // null to search all VMs
};

class vm_table {
public:
    // Returns the VM's index. An unknown VM gets a new index and has no room until it is added by
    // `put`.
    vm_index index_of(const base::vm_id& id);
    std::optional<vm_index> find(const base::vm_id& id) const;

    // Adds the VM, or updates its rack, capacity and state.
    void put(const vm& new_info);
    // Removes the VM. Its index is reused once no task is counted on it.
    void remove(vm_index i);

    // Adds or removes a task with its reservation.
    void add_task(vm_index i, const base::resources& amount);
    void remove_task(vm_index i, const base::resources& amount);
    // Adds or removes a part of the used amount that stays in use until its task is cancelled.
    void add_long_running(vm_index i, const base::resources& amount);
    void remove_long_running(vm_index i, const base::resources& amount);
    // Changes the used amount by a task's usage above its reservation; negative when the usage
    // falls.
    void adjust_used(vm_index i, const base::resources& more);
    // Adds or removes a hold for a task that is to start on the VM later.
    void add_hold(vm_index i, const base::resources& amount);
    void remove_hold(vm_index i, const base::resources& amount);
    // An excluded VM is never returned by `best`.
    void set_excluded(vm_index i, bool excluded);

    // Free capacity for new tasks; negative in each resource if the VM accepts none.
    const base::resources& room(vm_index i) const { return rooms_[i.value()]; }
    // As `room`, but also for an excluded VM: the free capacity for a probe.
    base::resources room_for_probe(vm_index i) const;
    // Returns true if new tasks may be placed on the VM.
    bool accepts_tasks(vm_index i) const;
    // The capacity that is available to one more task or gang once all tasks but the long-running
    // ones have ended.
    base::resources room_when_idle(vm_index i) const;

    const vm& at(vm_index i) const { return entries_[i.value()].info; }
    const base::resources& used(vm_index i) const { return entries_[i.value()].used; }
    std::size_t tasks(vm_index i) const { return entries_[i.value()].tasks; }
    std::uint32_t rack(vm_index i) const { return entries_[i.value()].rack; }
    // Indexes are below this number; those of removed VMs are included.
    std::uint32_t end() const { return static_cast<std::uint32_t>(entries_.size()); }
    bool known(vm_index i) const { return entries_[i.value()].known; }

    std::size_t known_vms() const { return known_vms_; }
    // Sum of the free capacity of all VMs that accept new tasks.
    const base::resources& total_room() const { return total_room_; }
    // Sum of the capacity of all known VMs.
    const base::resources& capacity() const { return capacity_; }
    // Returns true if a known VM would be large enough if it were empty.
    bool fits_some_vm(const base::resources& need) const;
    // Returns how many tasks with this need all known VMs together could run if they were empty, at
    // most `max_tasks`.
    std::size_t tasks_when_empty(const base::resources& need, std::size_t max_tasks) const;

    // Returns the VM with room for the request that has the lowest cost; nullopt if there is none.
    std::optional<vm_index> best(const placement_request& request) const;

private:
    struct vm_entry {
        vm info;
        base::resources used;          // reservations and excess usage of the tasks on the VM
        base::resources long_running;  // part of `used` that is freed only by cancelling tasks
        base::resources held;          // by reservations for waiting tasks
        std::size_t tasks = 0;
        std::uint32_t rack = 0;
        bool known = false;
        bool excluded = false;
        bool counted_in_total = false;  // its room is included in `total_room_`
    };
    // A cell has few distinct capacities, so that the check for tasks that never fit need not visit
    // each VM.
    struct capacity_class {
        base::resources capacity;
        std::size_t vms = 0;
    };

    double cost_of(const placement_request& request, std::uint32_t i) const;
    void refresh_room(vm_index i);
    void recycle_if_unused(vm_index i);
    void count_capacity(const base::resources& capacity, bool added);
    std::uint32_t rack_index(const base::rack_name& rack);

    std::unordered_map<base::vm_id, vm_index> by_id_;
    std::size_t known_vms_ = 0;
    std::vector<vm_entry> entries_;
    // By index. Kept apart from `entries_` and contiguous, since each search reads all of them.
    std::vector<base::resources> rooms_;
    std::vector<vm_index> unused_;
    std::vector<capacity_class> capacity_classes_;
    base::resources capacity_;
    base::resources total_room_;  // sum of `rooms_` over the VMs that accept tasks
    std::unordered_map<base::rack_name, std::uint32_t> racks_;
};

}  // namespace cranberrydock::policy
