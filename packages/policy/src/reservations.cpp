// Creates and releases reservations. Holds are placed on the VMs where the least must be freed.
#include "reservations.hpp"

#include <cranberrydock/base/check.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberrydock::policy {
namespace {

template <typename Unit>
double missing_fraction(Unit need, Unit room, Unit capacity) {
    const auto n = (need - room).value();
    return n <= 0 || capacity.value() <= 0
               ? 0
               : static_cast<double>(n) / static_cast<double>(capacity.value());
}

// How much must be freed on a VM before `need` fits: the sum over all resources of the missing
// fraction of the VM's capacity.
double missing_fraction(const base::resources& need, const base::resources& room,
                        const base::resources& capacity) {
    return missing_fraction(need.cores, room.cores, capacity.cores) +
           missing_fraction(need.memory, room.memory, capacity.memory) +
           missing_fraction(need.accelerators, room.accelerators, capacity.accelerators) +
           missing_fraction(need.slots, room.slots, capacity.slots);
}

}  // namespace

bool reservations::create(const queue_entry& entry, task_lane& lane,
                          const std::vector<base::resources>& needs, base::time_point expires) {
    reservation created;
    created.entry = entry;
    created.waiting_in = &lane;
    created.team = lane.kind().team;
    created.expires = expires;
    for (const base::resources& need : needs) {
        const auto vm = vm_missing_least(need);
        if (!vm) {
            for (const hold& it : created.holds) {
                vms_->remove_hold(it.vm, it.amount);
            }
            return false;
        }
        vms_->add_hold(*vm, need);
        created.holds.push_back({*vm, need});
        created.slots += need.slots;
    }
    created.team->slots_held += created.slots;
    reservations_.push_back(std::move(created));
    return true;
}

const reservation* reservations::find(std::uint64_t entry_number) const {
    const auto it = std::find_if(
        reservations_.begin(), reservations_.end(),
        [&](const reservation& listed) { return listed.entry.number == entry_number; });
    return it == reservations_.end() ? nullptr : &*it;
}

reservation reservations::extract(std::uint64_t entry_number) {
    const auto it = std::find_if(
        reservations_.begin(), reservations_.end(),
        [&](const reservation& listed) { return listed.entry.number == entry_number; });
    CRANBERRYDOCK_CHECK(it != reservations_.end(),
                        "expected a reservation for this entry, found none");
    reservation extracted = std::move(*it);
    reservations_.erase(it);
    release_holds(extracted);
    return extracted;
}

std::optional<reservation> reservations::extract_ended(base::time_point now) {
    const auto ended = [&](const reservation& listed) {
        return !listed.entry.live() || listed.expires <= now ||
               std::any_of(listed.holds.begin(), listed.holds.end(),
                           [&](const hold& it) { return !vms_->accepts_tasks(it.vm); });
    };
    const auto it = std::find_if(reservations_.begin(), reservations_.end(), ended);
    return it == reservations_.end() ? std::nullopt
                                     : std::optional<reservation>(extract(it->entry.number));
}

void reservations::restore(reservation extracted) {
    add_holds(extracted);
    reservations_.push_back(std::move(extracted));
}

void reservations::add_holds(const reservation& reserved) {
    for (const hold& it : reserved.holds) {
        vms_->add_hold(it.vm, it.amount);
    }
    reserved.team->slots_held += reserved.slots;
}

void reservations::release_holds(const reservation& reserved) {
    for (const hold& it : reserved.holds) {
        vms_->remove_hold(it.vm, it.amount);
    }
    reserved.team->slots_held -= reserved.slots;
}

// Returns the VM on which the least must be freed before `need` fits; nullopt if none could hold
// it.
std::optional<vm_index> reservations::vm_missing_least(const base::resources& need) const {
    std::optional<vm_index> result;
    double least_missing = std::numeric_limits<double>::infinity();
    for (std::uint32_t n = 0; n < vms_->end(); ++n) {
        const vm_index i(n);
        if (!base::fits(need, vms_->room_when_idle(i))) {
            continue;
        }
        const double missing = missing_fraction(need, vms_->room(i), vms_->at(i).capacity);
        if (missing < least_missing) {
            least_missing = missing;
            result = i;
        }
    }
    return result;
}

}  // namespace cranberrydock::policy
