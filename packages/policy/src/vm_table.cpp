// The VMs' books, and the search for the best VM among those with room.
#include "vm_table.hpp"

#include <algorithm>
#include <limits>

namespace cranberrydock::policy {
namespace {

// Smaller than any need, so that nothing fits.
const base::resources no_room{base::millicores(-1), base::mebibytes(-1),
                              base::accelerator_count(-1), base::slot_count(-1)};

template <typename Unit>
std::size_t times(Unit need, Unit room, std::size_t most) {
    if (need.value() <= 0) {
        return most;
    }
    const auto n = std::max<typename Unit::rep>(room.value() / need.value(), 0);
    return std::min(most, static_cast<std::size_t>(n));
}

}  // namespace

vm_index vm_table::index_of(const base::vm_id& id) {
    const auto found = by_id_.find(id);
    if (found != by_id_.end()) {
        return found->second;
    }
    vm_index i(static_cast<std::uint32_t>(slots_.size()));
    if (unused_.empty()) {
        slots_.emplace_back();
        rooms_.push_back(no_room);
    } else {
        i = unused_.back();
        unused_.pop_back();
        slots_[i.value()] = slot{};
    }
    slots_[i.value()].what.id = id;
    by_id_.emplace(id, i);
    return i;
}

std::optional<vm_index> vm_table::find(const base::vm_id& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? std::nullopt : std::optional<vm_index>(it->second);
}

void vm_table::put(const vm& one) {
    const vm_index i = index_of(one.id);
    slot& it = slots_[i.value()];
    if (it.known) {
        count_capacity(it.what.capacity, false);
    } else {
        ++by_id_known_;
    }
    it.known = true;
    it.what = one;
    it.rack = rack_index(one.rack);
    count_capacity(one.capacity, true);
    refresh_room(i);
}

void vm_table::remove(vm_index i) {
    slot& it = slots_[i.value()];
    if (!it.known) {
        return;
    }
    count_capacity(it.what.capacity, false);
    it.known = false;
    --by_id_known_;
    refresh_room(i);
    recycle_if_unused(i);
}

void vm_table::take(vm_index i, const base::resources& amount) {
    slots_[i.value()].used += amount;
    ++slots_[i.value()].tasks;
    refresh_room(i);
}

void vm_table::give(vm_index i, const base::resources& amount) {
    slots_[i.value()].used -= amount;
    --slots_[i.value()].tasks;
    refresh_room(i);
    recycle_if_unused(i);
}

void vm_table::add_lasting(vm_index i, const base::resources& amount) {
    slots_[i.value()].lasting += amount;
}

void vm_table::drop_lasting(vm_index i, const base::resources& amount) {
    slots_[i.value()].lasting -= amount;
}

void vm_table::charge(vm_index i, const base::resources& more) {
    slots_[i.value()].used += more;
    refresh_room(i);
}

void vm_table::hold(vm_index i, const base::resources& amount) {
    slots_[i.value()].held += amount;
    refresh_room(i);
}

void vm_table::unhold(vm_index i, const base::resources& amount) {
    slots_[i.value()].held -= amount;
    refresh_room(i);
}

void vm_table::bar(vm_index i, bool barred) {
    slots_[i.value()].barred = barred;
    refresh_room(i);
}

base::resources vm_table::room_for_probe(vm_index i) const {
    const slot& it = slots_[i.value()];
    const bool placeable = it.known && it.what.state == vm_state::usable;
    return placeable ? it.what.capacity - it.used - it.held : no_room;
}

bool vm_table::open(vm_index i) const {
    const slot& it = slots_[i.value()];
    return it.known && it.what.state == vm_state::usable && !it.barred;
}

base::resources vm_table::room_when_idle(vm_index i) const {
    const slot& it = slots_[i.value()];
    return open(i) ? it.what.capacity - it.held - it.lasting : no_room;
}

bool vm_table::large_enough(const base::resources& need) const {
    return std::any_of(classes_.begin(), classes_.end(),
                       [&](const capacity_class& it) { return base::fits(need, it.capacity); });
}

std::size_t vm_table::holds_when_empty(const base::resources& need, std::size_t enough) const {
    std::size_t n = 0;
    for (const capacity_class& it : classes_) {
        std::size_t a_vm = times(need.slots, it.capacity.slots, enough);
        a_vm = times(need.cores, it.capacity.cores, a_vm);
        a_vm = times(need.memory, it.capacity.memory, a_vm);
        a_vm = times(need.accelerators, it.capacity.accelerators, a_vm);
        n += std::min(enough, a_vm * it.vms);
    }
    return std::min(n, enough);
}

std::optional<vm_index> vm_table::best(const placement_request& request) const {
    double lowest = std::numeric_limits<double>::infinity();
    std::optional<vm_index> result;
    const auto consider = [&](std::uint32_t i) {
        if (!base::fits(request.need, rooms_[i])) {
            return;
        }
        const double cost = cost_of(request, i);
        if (cost < lowest) {
            lowest = cost;
            result = vm_index(i);
        }
    };
    if (request.candidates != nullptr) {
        for (const vm_index it : *request.candidates) {
            consider(it.value());
        }
        return result;
    }
    for (std::uint32_t i = 0; i < rooms_.size(); ++i) {
        consider(i);
    }
    return result;
}

// Infinite for a VM that the task should avoid.
double vm_table::cost_of(const placement_request& request, std::uint32_t i) const {
    const slot& it = slots_[i];
    if (std::find(request.avoid.begin(), request.avoid.end(), it.what.id) != request.avoid.end()) {
        return std::numeric_limits<double>::infinity();
    }
    const std::size_t in_rack = request.same_job ? request.same_job->in(it.rack) : 0;
    return request.scorer.cost(request.need, {rooms_[i], it.what.capacity, in_rack});
}

void vm_table::refresh_room(vm_index i) {
    slot& it = slots_[i.value()];
    if (it.counted) {
        room_in_all_ -= rooms_[i.value()];
    }
    it.counted = open(i);
    rooms_[i.value()] = it.counted ? it.what.capacity - it.used - it.held : no_room;
    if (it.counted) {
        room_in_all_ += rooms_[i.value()];
    }
}

void vm_table::recycle_if_unused(vm_index i) {
    slot& it = slots_[i.value()];
    if (it.known || it.tasks > 0) {
        return;
    }
    by_id_.erase(it.what.id);
    it = slot{};
    unused_.push_back(i);
}

void vm_table::count_capacity(const base::resources& capacity, bool added) {
    auto it = std::find_if(classes_.begin(), classes_.end(),
                           [&](const capacity_class& one) { return one.capacity == capacity; });
    if (it == classes_.end()) {
        it = classes_.insert(it, {capacity, 0});
    }
    if (added) {
        ++it->vms;
        capacity_ += capacity;
        return;
    }
    capacity_ -= capacity;
    if (--it->vms == 0) {
        classes_.erase(it);
    }
}

std::uint32_t vm_table::rack_index(const base::rack_name& rack) {
    return racks_.try_emplace(rack, static_cast<std::uint32_t>(racks_.size())).first->second;
}

}  // namespace cranberrydock::policy
