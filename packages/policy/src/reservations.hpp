// Room kept for tasks and gangs that found none for long. A reservation takes all that its work
// needs at once, from what the VMs have once they are idle: so two gangs never each hold a half and
// wait for the other. What is kept counts as used for all other work; that may still start beside
// it, since it then can't delay the work that waits. Each reservation expires.
#pragma once

#include "lane.hpp"
#include "records.hpp"
#include "vm_table.hpp"

#include <vector>

namespace cranberrydock::policy {

struct hold {
    vm_index vm;
    base::resources amount;
};

struct reservation {
    queue_entry entry;  // what it is for; void once that no longer counts
    lane* in = nullptr;
    team_record* team = nullptr;
    base::slot_count slots;  // kept of the team's allowance
    std::vector<hold> holds;
    base::time_point expires{};
};

class reservations {
public:
    explicit reservations(vm_table& vms) : vms_(&vms) {}

    // Keeps room for tasks that need `needs` each; false when even idle VMs lack it.
    bool make(const queue_entry& entry, lane& in, const std::vector<base::resources>& needs,
              base::time_point expires);
    const reservation* find(std::uint64_t entry) const;
    // Takes the reservation of that entry out; its room is free again.
    reservation take_out(std::uint64_t entry);
    // Puts back one that was taken out just before.
    void put_back(reservation one);
    // Takes out one that is void, has expired, or has a hold on a VM that gets nothing; none: all
    // stand.
    std::optional<reservation> take_out_ended(base::time_point now);

    std::size_t size() const { return list_.size(); }
    const std::vector<reservation>& list() const { return list_; }

private:
    void keep(const reservation& one);
    void release(const reservation& one);
    std::optional<vm_index> soonest(const base::resources& need) const;

    vm_table* vms_;
    std::vector<reservation> list_;  // few; see scheduler_settings::most_reservations
};

}  // namespace cranberrydock::policy
