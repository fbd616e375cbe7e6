// Simulates the allowance machines of several cells.
#include "allowance_simulation.hpp"

#include <cranberrydock/cell/registry_rows.hpp>

#include <algorithm>
#include <numeric>

namespace cranberrydock::standins {

using base::slot_count;

namespace {

constexpr std::size_t vms_per_cell = 3;
constexpr std::int64_t slots_per_vm = 6;
constexpr double lost_answer_share = 0.4;
constexpr base::milliseconds idle_time{500};
const base::team_id team("t");

base::cell_id name_of(std::size_t cell) {
    return base::cell_id("c" + std::to_string(cell));
}

}  // namespace

allowance_simulation::allowance_simulation(const allowance_simulation_settings& settings)
    : random_(settings.seed),
      limit_(settings.first_limit),
      vms_(settings.cells, std::vector<vm>(vms_per_cell)),
      epochs_(settings.cells, 0),
      owners_(settings.cells) {
    for (std::size_t i = 0; i < settings.cells; ++i) {
        replace_owner(i);
    }
}

void allowance_simulation::replace_owner(std::size_t cell) {
    const auto key = cell::cell_row_key(name_of(cell));
    const auto epoch = ++epochs_[cell];
    table_.commit({{}, {{key, std::to_string(epoch)}}});
    if (owners_[cell]) {
        owners_.push_back(owners_[cell]);
    }
    auto owner = std::make_shared<cell_owner>();
    owner->cell = cell;
    owner->epoch = epoch;
    owner->reported.assign(vms_per_cell, false);
    owner->assumed_running.assign(vms_per_cell, 0);
    cell::allowance_settings settings;
    settings.cell = name_of(cell);
    settings.idle_time = idle_time;
    settings.guard = {key, table_.version(key)};
    owner->machine = std::make_unique<cell::allowance_manager>(settings);
    owners_[cell] = owner;
    send_limit(owner);
    send_demand(owner);
}

// Of the replaced owners that still act, stops the one that was replaced first.
void allowance_simulation::retire_replaced_owner() {
    if (owners_.size() > vms_.size()) {
        owners_.erase(owners_.begin() + static_cast<std::ptrdiff_t>(vms_.size()));
    }
}

void allowance_simulation::step() {
    now_ += static_cast<std::int64_t>(pick(60));
    const auto& owner = owners_[pick(owners_.size())];
    feed(owner, cell::tick{});
    if (!faults_) {  // the store keeps up with the requests
        serve_request();
        deliver_answer();
    }
    const auto action = pick(100);
    if (action < 11) {
        serve_request();
    } else if (action < 25) {
        deliver_answer();
    } else if (action < 45) {
        send_start(owner);
    } else if (action < 60) {
        deliver_start();
    } else if (action < 68) {
        finish_task();
    } else if (action < 76) {
        receive_first_report(owner);
    } else if (action < 86) {
        receive_report(owner);
    } else if (action < 92) {
        owner->queued = unlimited_demand_ ? slots_per_vm * 10 : static_cast<std::int64_t>(pick(10));
        send_demand(owner);
    } else if (action < 96) {
        send_limit(owner);
    } else if (!faults_) {
        store_down_ = false;
        retire_replaced_owner();
    } else if (action == 96) {
        limit_ = static_cast<std::int64_t>(pick(20));
    } else if (action == 97) {
        replace_owner(pick(vms_.size()));
    } else if (action == 98) {
        retire_replaced_owner();
    } else {
        store_down_ = chance(0.3);
    }
}

void allowance_simulation::set_unlimited_demand() {
    unlimited_demand_ = true;
}

// ---- owners

void allowance_simulation::send_limit(const cell_owner_ptr& owner) {
    owner->limit = limit_;
    const auto reserve = limit_ / static_cast<std::int64_t>(vms_.size());
    feed(owner, cell::limits_changed{{{team, slot_count(limit_), slot_count(reserve)}}});
}

void allowance_simulation::send_demand(const cell_owner_ptr& owner) {
    const auto running = std::accumulate(
        owner->assumed_running.begin(), owner->assumed_running.end(), static_cast<std::int64_t>(0));
    const auto unreported =
        std::count(owner->reported.begin(), owner->reported.end(), false) * slots_per_vm;
    feed(owner, cell::demand_changed{{{team, slot_count(running), slot_count(unreported),
                                       slot_count(owner->queued)}}});
}

void allowance_simulation::feed(const cell_owner_ptr& owner, const cell::allowance_event& event) {
    for (auto& it : owner->machine->handle(event, now())) {
        if (!std::holds_alternative<cell::allowance_increased>(it)) {
            requests_.push_back({owner, std::move(it), false});
        }
    }
}

// ---- the store

void allowance_simulation::serve_request() {
    if (requests_.empty()) {
        return;
    }
    const auto it = pick_element(requests_);
    auto served = std::move(*it);
    requests_.erase(it);
    if (const auto* scanning = std::get_if<cell::scan_allowances>(&served.effect)) {
        cell::allowances_scanned event;
        event.operation = scanning->operation;
        event.rows = table_.scan(cell::allowance_prefix);
        if (store_down_) {
            event.rows = tl::make_unexpected(platform::store_error::unavailable);
        }
        answers_.push_back({served.from, event});
        return;
    }
    const auto& write = std::get<cell::commit>(served.effect);
    if (served.is_late_effect) {
        table_.commit(write.transaction);
        return;
    }
    cell::commit_finished event;
    event.operation = write.operation;
    if (store_down_) {
        event.result = tl::make_unexpected(platform::store_error::unavailable);
    } else if (faults_ && chance(lost_answer_share)) {
        event.result = tl::make_unexpected(platform::store_error::answer_lost);
        if (chance(0.4)) {
            table_.commit(write.transaction);
        } else if (chance(0.6)) {
            requests_.push_back({served.from, served.effect, true});
        }
    } else {
        event.result = table_.commit(write.transaction);
    }
    answers_.push_back({served.from, event});
}

void allowance_simulation::deliver_answer() {
    if (answers_.empty()) {
        return;
    }
    const auto it = pick_element(answers_);
    const auto delivered = std::move(*it);
    answers_.erase(it);
    feed(delivered.to, delivered.event);
}

// ---- VMs

// Counts running tasks, and pending starts that their VM would accept.
std::int64_t allowance_simulation::committed_slots() const {
    auto result = running_slots();
    for (const auto& it : pending_starts_) {
        result += it.from->epoch >= vms_[it.from->cell][it.vm].epoch ? 1 : 0;
    }
    return result;
}

void allowance_simulation::send_start(const cell_owner_ptr& owner) {
    if (owner->machine->startable_slots(team) <= slot_count(0) || owner->queued == 0) {
        return;
    }
    const auto vm_index = pick(vms_per_cell);
    // A replaced owner still sends starts to VMs from which it has received a report.
    if (!owner->reported[vm_index] || owner->assumed_running[vm_index] >= slots_per_vm) {
        return;
    }
    --owner->queued;
    ++owner->assumed_running[vm_index];
    send_demand(owner);
    pending_starts_.push_back({owner, vm_index});
    if (owner->epoch < vms_[owner->cell][vm_index].epoch) {
        return;
    }
    ++starts_;
    std::int64_t highest_sent_limit = 0;
    for (const auto& it : owners_) {
        highest_sent_limit = std::max(highest_sent_limit, it->limit);
    }
    if (committed_slots() > highest_sent_limit) {
        violations_.push_back(std::to_string(committed_slots()) + " slots in use, the limit is " +
                              std::to_string(highest_sent_limit));
    }
}

void allowance_simulation::deliver_start() {
    if (pending_starts_.empty()) {
        return;
    }
    const auto it = pick_element(pending_starts_);
    const auto arrived = *it;
    pending_starts_.erase(it);
    auto& target = vms_[arrived.from->cell][arrived.vm];
    if (arrived.from->epoch < target.epoch || target.running >= slots_per_vm) {
        --arrived.from->assumed_running[arrived.vm];
        send_demand(arrived.from);
        return;
    }
    target.epoch = arrived.from->epoch;
    ++target.running;
}

void allowance_simulation::receive_first_report(const cell_owner_ptr& owner) {
    const auto vm_index = pick(vms_per_cell);
    auto& target = vms_[owner->cell][vm_index];
    if (owner->reported[vm_index] || owner->epoch < target.epoch) {
        return;
    }
    target.epoch = owner->epoch;
    owner->reported[vm_index] = true;
    owner->assumed_running[vm_index] = target.running;
    send_demand(owner);
}

void allowance_simulation::receive_report(const cell_owner_ptr& owner) {
    const auto vm_index = pick(vms_per_cell);
    const auto& target = vms_[owner->cell][vm_index];
    if (!owner->reported[vm_index] || target.epoch != owner->epoch) {
        return;
    }
    owner->assumed_running[vm_index] = target.running;
    for (const auto& it : pending_starts_) {
        owner->assumed_running[vm_index] += it.from == owner && it.vm == vm_index ? 1 : 0;
    }
    send_demand(owner);
}

void allowance_simulation::finish_task() {
    auto& target = vms_[pick(vms_.size())][pick(vms_per_cell)];
    const bool ends = !unlimited_demand_ || chance(0.1);
    if (target.running > 0 && ends) {
        --target.running;
    }
}

std::int64_t allowance_simulation::running_slots_in(std::size_t cell) const {
    return std::accumulate(vms_[cell].begin(), vms_[cell].end(), static_cast<std::int64_t>(0),
                           [](auto sum, const auto& it) { return sum + it.running; });
}

std::int64_t allowance_simulation::running_slots() const {
    std::int64_t result = 0;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        result += running_slots_in(i);
    }
    return result;
}

std::size_t allowance_simulation::pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

bool allowance_simulation::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

}  // namespace cranberrydock::standins
