// The cell's VMs: what each has left, and the search for one that has room for a task.
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

// Running tasks of one job by rack; a missing rack has none.
struct rack_counts {
    std::map<std::uint32_t, std::size_t> tasks;

    std::size_t in(std::uint32_t rack) const {
        const auto it = tasks.find(rack);
        return it == tasks.end() ? 0 : it->second;
    }
};

// What a search is for.
struct placement_request {
    const base::resources& need;
    const std::vector<base::vm_id>& avoid;
    const placement_scorer& scorer;
    const rack_counts* same_job = nullptr;              // null: the job has nothing running
    const std::vector<vm_index>* candidates = nullptr;  // null: all VMs
};

class vm_table {
public:
    // The VM's index; an unknown VM gets one, and room for nothing until it is put.
    vm_index index_of(const base::vm_id& id);
    std::optional<vm_index> find(const base::vm_id& id) const;

    void put(const vm& one);
    // Forgets the VM; its index is used again once no task is counted on it.
    void remove(vm_index i);

    // Counts a task's reservation on the VM, or gives it back.
    void take(vm_index i, const base::resources& amount);
    void give(vm_index i, const base::resources& amount);
    // Of what runs there, a part that runs until it is cancelled, or no longer does.
    void add_lasting(vm_index i, const base::resources& amount);
    void drop_lasting(vm_index i, const base::resources& amount);
    // Counts a task's use above its reservation, or less of it.
    void charge(vm_index i, const base::resources& more);
    // Keeps room for work that is to start there, or gives it back.
    void hold(vm_index i, const base::resources& amount);
    void unhold(vm_index i, const base::resources& amount);
    // A barred VM gets nothing through `best`.
    void bar(vm_index i, bool barred);

    // What may be placed on the VM now; negative in each resource when nothing may.
    const base::resources& room(vm_index i) const { return rooms_[i.value()]; }
    // As `room`, for a VM that is only barred: what a probe may take.
    base::resources room_for_probe(vm_index i) const;
    // Whether the VM gets new tasks at all.
    bool open(vm_index i) const;
    // What the VM could give to one more task or gang once all that ends by itself has ended.
    base::resources room_when_idle(vm_index i) const;

    const vm& at(vm_index i) const { return slots_[i.value()].what; }
    const base::resources& used(vm_index i) const { return slots_[i.value()].used; }
    std::size_t tasks(vm_index i) const { return slots_[i.value()].tasks; }
    std::uint32_t rack(vm_index i) const { return slots_[i.value()].rack; }
    // Indexes run from 0 to here; those of removed VMs are among them.
    std::uint32_t end() const { return static_cast<std::uint32_t>(slots_.size()); }
    bool known(vm_index i) const { return slots_[i.value()].known; }

    std::size_t known_vms() const { return by_id_known_; }
    // What is left in all VMs together that get new tasks.
    const base::resources& room_in_all() const { return room_in_all_; }
    // The sum of the known VMs' capacity.
    const base::resources& capacity() const { return capacity_; }
    // Whether some known VM is large enough, were it empty.
    bool large_enough(const base::resources& need) const;
    // How many tasks of this need the known VMs could hold together, were they empty, counted up
    // to `enough`.
    std::size_t holds_when_empty(const base::resources& need, std::size_t enough) const;

    // The VM with room for the request at the lowest cost.
    std::optional<vm_index> best(const placement_request& request) const;

private:
    struct slot {
        vm what;
        base::resources used;     // reservations and excess use of the tasks counted here
        base::resources lasting;  // part of `used` that does not end by itself
        base::resources held;     // kept for work that is to start here
        std::size_t tasks = 0;
        std::uint32_t rack = 0;
        bool known = false;
        bool barred = false;
        bool counted = false;  // its room is part of `room_in_all_`
    };
    // Distinct capacities are few, so that "can it ever fit" need not look at each VM.
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
    std::size_t by_id_known_ = 0;
    std::vector<slot> slots_;
    std::vector<base::resources> rooms_;  // by index; side by side, since each search reads them
    std::vector<vm_index> unused_;
    std::vector<capacity_class> classes_;
    base::resources capacity_;
    base::resources room_in_all_;  // sum of `rooms_` over the VMs that are open
    std::unordered_map<base::rack_name, std::uint32_t> racks_;
};

}  // namespace cranberrydock::policy
