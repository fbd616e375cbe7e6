// Choosing and keeping holds: the VMs that need the least to end first.
#include "reservations.hpp"

#include <cranberrydock/base/check.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace cranberrydock::policy {
namespace {

template <typename Unit>
double lacking(Unit need, Unit room, Unit capacity) {
    const auto n = (need - room).value();
    return n <= 0 || capacity.value() <= 0
               ? 0
               : static_cast<double>(n) / static_cast<double>(capacity.value());
}

// How much has to end on a VM before `need` fits, as parts of its capacity.
double lacking(const base::resources& need, const base::resources& room,
               const base::resources& capacity) {
    return lacking(need.cores, room.cores, capacity.cores) +
           lacking(need.memory, room.memory, capacity.memory) +
           lacking(need.accelerators, room.accelerators, capacity.accelerators) +
           lacking(need.slots, room.slots, capacity.slots);
}

}  // namespace

bool reservations::make(const queue_entry& entry, lane& in,
                        const std::vector<base::resources>& needs, base::time_point expires) {
    reservation one;
    one.entry = entry;
    one.in = &in;
    one.team = in.kind().team;
    one.expires = expires;
    for (const base::resources& need : needs) {
        const auto vm = soonest(need);
        if (!vm) {
            for (const hold& it : one.holds) {
                vms_->unhold(it.vm, it.amount);
            }
            return false;
        }
        vms_->hold(*vm, need);
        one.holds.push_back({*vm, need});
        one.slots += need.slots;
    }
    one.team->slots_held += one.slots;
    list_.push_back(std::move(one));
    return true;
}

const reservation* reservations::find(std::uint64_t entry) const {
    const auto it = std::find_if(list_.begin(), list_.end(),
                                 [&](const reservation& one) { return one.entry.number == entry; });
    return it == list_.end() ? nullptr : &*it;
}

reservation reservations::take_out(std::uint64_t entry) {
    const auto it = std::find_if(list_.begin(), list_.end(),
                                 [&](const reservation& one) { return one.entry.number == entry; });
    CRANBERRYDOCK_CHECK(it != list_.end(), "expected a reservation of this entry, found none");
    reservation one = std::move(*it);
    list_.erase(it);
    release(one);
    return one;
}

std::optional<reservation> reservations::take_out_ended(base::time_point now) {
    const auto ended = [&](const reservation& one) {
        return !one.entry.counts() || one.expires <= now ||
               std::any_of(one.holds.begin(), one.holds.end(),
                           [&](const hold& it) { return !vms_->open(it.vm); });
    };
    const auto it = std::find_if(list_.begin(), list_.end(), ended);
    return it == list_.end() ? std::nullopt
                             : std::optional<reservation>(take_out(it->entry.number));
}

void reservations::put_back(reservation one) {
    keep(one);
    list_.push_back(std::move(one));
}

void reservations::keep(const reservation& one) {
    for (const hold& it : one.holds) {
        vms_->hold(it.vm, it.amount);
    }
    one.team->slots_held += one.slots;
}

void reservations::release(const reservation& one) {
    for (const hold& it : one.holds) {
        vms_->unhold(it.vm, it.amount);
    }
    one.team->slots_held -= one.slots;
}

// The VM that needs the least to end before it has room.
std::optional<vm_index> reservations::soonest(const base::resources& need) const {
    std::optional<vm_index> result;
    double least = std::numeric_limits<double>::infinity();
    for (std::uint32_t n = 0; n < vms_->end(); ++n) {
        const vm_index i(n);
        if (!base::fits(need, vms_->room_when_idle(i))) {
            continue;
        }
        const double missing = lacking(need, vms_->room(i), vms_->at(i).capacity);
        if (missing < least) {
            least = missing;
            result = i;
        }
    }
    return result;
}

}  // namespace cranberrydock::policy
