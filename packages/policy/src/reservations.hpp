// Reservations for tasks and gangs that have found no room for a long time. A reservation holds
// everything that its tasks need at once, out of what the VMs offer when idle, so that two gangs
// never deadlock with half of their room each. Held room counts as used for all other tasks. These
// may still start in the remaining room, since that can't delay the waiting task or gang. Each
// reservation expires.
#pragma once

#include "records.hpp"
#include "task_lane.hpp"
#include "vm_table.hpp"

#include <vector>

namespace cranberrydock::policy {

struct hold {
    vm_index vm;
    base::resources amount;
};

struct reservation {
    queue_entry entry;  // the entry it is for; void once the entry is stale
    task_lane* waiting_in = nullptr;
    team_record* team = nullptr;
    base::slot_count slots;  // held from the team's allowance
    std::vector<hold> holds;
    base::time_point expires{};
};

class reservations {
public:
    explicit reservations(vm_table& vms) : vms_(&vms) {}

    // Makes a reservation for tasks with these needs. Returns false if there is not enough room
    // even on idle VMs.
    bool create(const queue_entry& entry, task_lane& lane,
                const std::vector<base::resources>& needs, base::time_point expires);
    const reservation* find(std::uint64_t entry_number) const;
    // Removes and returns the reservation of this entry, which must exist, and releases its holds.
    reservation extract(std::uint64_t entry_number);
    // Adds a reservation that was extracted just before, with its holds.
    void restore(reservation extracted);
    // Removes and returns a reservation that is void, has expired, or has a hold on a VM that
    // accepts no tasks; nullopt if there is none.
    std::optional<reservation> extract_ended(base::time_point now);

    std::size_t size() const { return reservations_.size(); }
    const std::vector<reservation>& list() const { return reservations_; }

private:
    void add_holds(const reservation& reserved);
    void release_holds(const reservation& reserved);
    std::optional<vm_index> vm_missing_least(const base::resources& need) const;

    vm_table* vms_;
    std::vector<reservation> reservations_;  // few, at most scheduler_settings::max_reservations
};

}  // namespace cranberrydock::policy
