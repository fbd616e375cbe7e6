// Resource accounting per VM, and the search for the VM with the lowest cost among those with room.
#include "vm_table.hpp"

#include <algorithm>
#include <limits>

namespace cranberrydock::policy {
namespace {

// Negative, so that no need fits.
const base::resources no_room{base::millicores(-1), base::mebibytes(-1),
                              base::accelerator_count(-1), base::slot_count(-1)};

template <typename Unit>
std::size_t times_fits(Unit need, Unit room, std::size_t limit) {
    if (need.value() <= 0) {
        return limit;
    }
    const auto n = std::max<typename Unit::rep>(room.value() / need.value(), 0);
    return std::min(limit, static_cast<std::size_t>(n));
}

}  // namespace

vm_index vm_table::index_of(const base::vm_id& id) {
    const auto found = by_id_.find(id);
    if (found != by_id_.end()) {
        return found->second;
    }
    vm_index i(static_cast<std::uint32_t>(entries_.size()));
    if (unused_.empty()) {
        entries_.emplace_back();
        rooms_.push_back(no_room);
    } else {
        i = unused_.back();
        unused_.pop_back();
        entries_[i.value()] = vm_entry{};
    }
    entries_[i.value()].info.id = id;
    by_id_.emplace(id, i);
    return i;
}

std::optional<vm_index> vm_table::find(const base::vm_id& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? std::nullopt : std::optional<vm_index>(it->second);
}

void vm_table::put(const vm& new_info) {
    const vm_index i = index_of(new_info.id);
    vm_entry& it = entries_[i.value()];
    if (it.known) {
        count_capacity(it.info.capacity, false);
    } else {
        ++known_vms_;
    }
    it.known = true;
    it.info = new_info;
    it.rack = rack_index(new_info.rack);
    count_capacity(new_info.capacity, true);
    refresh_room(i);
}

void vm_table::remove(vm_index i) {
    vm_entry& it = entries_[i.value()];
    if (!it.known) {
        return;
    }
    count_capacity(it.info.capacity, false);
    it.known = false;
    --known_vms_;
    refresh_room(i);
    recycle_if_unused(i);
}

void vm_table::add_task(vm_index i, const base::resources& amount) {
    entries_[i.value()].used += amount;
    ++entries_[i.value()].tasks;
    refresh_room(i);
}

void vm_table::remove_task(vm_index i, const base::resources& amount) {
    entries_[i.value()].used -= amount;
    --entries_[i.value()].tasks;
    refresh_room(i);
    recycle_if_unused(i);
}

void vm_table::add_long_running(vm_index i, const base::resources& amount) {
    entries_[i.value()].long_running += amount;
}

void vm_table::remove_long_running(vm_index i, const base::resources& amount) {
    entries_[i.value()].long_running -= amount;
}

void vm_table::adjust_used(vm_index i, const base::resources& more) {
    entries_[i.value()].used += more;
    refresh_room(i);
}

void vm_table::add_hold(vm_index i, const base::resources& amount) {
    entries_[i.value()].held += amount;
    refresh_room(i);
}

void vm_table::remove_hold(vm_index i, const base::resources& amount) {
    entries_[i.value()].held -= amount;
    refresh_room(i);
}

void vm_table::set_excluded(vm_index i, bool excluded) {
    entries_[i.value()].excluded = excluded;
    refresh_room(i);
}

base::resources vm_table::room_for_probe(vm_index i) const {
    const vm_entry& it = entries_[i.value()];
    const bool placeable = it.known && it.info.state == vm_state::usable;
    return placeable ? it.info.capacity - it.used - it.held : no_room;
}

bool vm_table::accepts_tasks(vm_index i) const {
    const vm_entry& it = entries_[i.value()];
    return it.known && it.info.state == vm_state::usable && !it.excluded;
}

base::resources vm_table::room_when_idle(vm_index i) const {
    const vm_entry& it = entries_[i.value()];
    return accepts_tasks(i) ? it.info.capacity - it.held - it.long_running : no_room;
}

bool vm_table::fits_some_vm(const base::resources& need) const {
    return std::any_of(capacity_classes_.begin(), capacity_classes_.end(),
                       [&](const capacity_class& it) { return base::fits(need, it.capacity); });
}

std::size_t vm_table::tasks_when_empty(const base::resources& need, std::size_t max_tasks) const {
    std::size_t n = 0;
    for (const capacity_class& it : capacity_classes_) {
        std::size_t per_vm = times_fits(need.slots, it.capacity.slots, max_tasks);
        per_vm = times_fits(need.cores, it.capacity.cores, per_vm);
        per_vm = times_fits(need.memory, it.capacity.memory, per_vm);
        per_vm = times_fits(need.accelerators, it.capacity.accelerators, per_vm);
        n += std::min(max_tasks, per_vm * it.vms);
    }
    return std::min(n, max_tasks);
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
    const vm_entry& it = entries_[i];
    if (std::find(request.avoid.begin(), request.avoid.end(), it.info.id) != request.avoid.end()) {
        return std::numeric_limits<double>::infinity();
    }
    const std::size_t in_rack = request.same_job ? request.same_job->count_in(it.rack) : 0;
    return request.scorer.cost(request.need, {rooms_[i], it.info.capacity, in_rack});
}

void vm_table::refresh_room(vm_index i) {
    vm_entry& it = entries_[i.value()];
    if (it.counted_in_total) {
        total_room_ -= rooms_[i.value()];
    }
    it.counted_in_total = accepts_tasks(i);
    rooms_[i.value()] = it.counted_in_total ? it.info.capacity - it.used - it.held : no_room;
    if (it.counted_in_total) {
        total_room_ += rooms_[i.value()];
    }
}

void vm_table::recycle_if_unused(vm_index i) {
    vm_entry& it = entries_[i.value()];
    if (it.known || it.tasks > 0) {
        return;
    }
    by_id_.erase(it.info.id);
    it = vm_entry{};
    unused_.push_back(i);
}

void vm_table::count_capacity(const base::resources& capacity, bool added) {
    auto it =
        std::find_if(capacity_classes_.begin(), capacity_classes_.end(),
                     [&](const capacity_class& existing) { return existing.capacity == capacity; });
    if (it == capacity_classes_.end()) {
        it = capacity_classes_.insert(it, {capacity, 0});
    }
    if (added) {
        ++it->vms;
        capacity_ += capacity;
        return;
    }
    capacity_ -= capacity;
    if (--it->vms == 0) {
        capacity_classes_.erase(it);
    }
}

std::uint32_t vm_table::rack_index(const base::rack_name& rack) {
    return racks_.try_emplace(rack, static_cast<std::uint32_t>(racks_.size())).first->second;
}

}  // namespace cranberrydock::policy
