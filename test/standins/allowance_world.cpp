// The simulated world of allowance keepers.
#include "allowance_world.hpp"

#include <cranberrydock/cell/registry_rows.hpp>

#include <algorithm>
#include <numeric>

namespace cranberrydock::standins {

using base::slot_count;

namespace {

constexpr std::size_t vms_per_cell = 3;
constexpr std::int64_t slots_per_vm = 6;
constexpr double lost_share = 0.4;
constexpr base::milliseconds idle_time{500};
const base::team_id team("t");

base::cell_id name_of(std::size_t cell) {
    return base::cell_id("c" + std::to_string(cell));
}

}  // namespace

allowance_world::allowance_world(const allowance_world_settings& settings)
    : random_(settings.seed),
      limit_(settings.first_limit),
      vms_(settings.cells, std::vector<vm>(vms_per_cell)),
      epochs_(settings.cells, 0),
      keepers_(settings.cells) {
    for (std::size_t i = 0; i < settings.cells; ++i) {
        change_owner(i);
    }
}

void allowance_world::change_owner(std::size_t cell) {
    const auto key = cell::cell_row_key(name_of(cell));
    const auto epoch = ++epochs_[cell];
    table_.commit({{}, {{key, std::to_string(epoch)}}});
    if (keepers_[cell]) {
        keepers_.push_back(keepers_[cell]);
    }
    auto one = std::make_shared<keeper>();
    one->cell = cell;
    one->epoch = epoch;
    one->heard.assign(vms_per_cell, false);
    one->believed.assign(vms_per_cell, 0);
    cell::allowance_settings settings;
    settings.cell = name_of(cell);
    settings.idle_time = idle_time;
    settings.guard = {key, table_.version(key)};
    one->machine = std::make_unique<cell::allowance_keeper>(settings);
    keepers_[cell] = one;
    tell_limit(one);
    tell_demand(one);
}

// A replaced owner notices at last.
void allowance_world::retire() {
    if (keepers_.size() > vms_.size()) {
        keepers_.erase(keepers_.begin() + static_cast<std::ptrdiff_t>(vms_.size()));
    }
}

void allowance_world::step() {
    now_ += static_cast<std::int64_t>(pick(60));
    const auto& one = keepers_[pick(keepers_.size())];
    feed(one, cell::tick{});
    if (!faults_) {  // a store that keeps up
        serve_request();
        deliver_answer();
    }
    const auto action = pick(100);
    if (action < 11) {
        serve_request();
    } else if (action < 25) {
        deliver_answer();
    } else if (action < 45) {
        send_start(one);
    } else if (action < 60) {
        deliver_start();
    } else if (action < 68) {
        finish_task();
    } else if (action < 76) {
        hello(one);
    } else if (action < 86) {
        report(one);
    } else if (action < 92) {
        one->queued = endless_ ? slots_per_vm * 10 : static_cast<std::int64_t>(pick(10));
        tell_demand(one);
    } else if (action < 96) {
        tell_limit(one);
    } else if (!faults_) {
        store_down_ = false;
        retire();
    } else if (action == 96) {
        limit_ = static_cast<std::int64_t>(pick(20));
    } else if (action == 97) {
        change_owner(pick(vms_.size()));
    } else if (action == 98) {
        retire();
    } else {
        store_down_ = chance(0.3);
    }
}

void allowance_world::demand_everything() {
    endless_ = true;
}

// ---- keepers

void allowance_world::tell_limit(const keeper_ptr& one) {
    one->limit = limit_;
    const auto reserve = limit_ / static_cast<std::int64_t>(vms_.size());
    feed(one, cell::limits_known{{{team, slot_count(limit_), slot_count(reserve)}}});
}

void allowance_world::tell_demand(const keeper_ptr& one) {
    const auto running =
        std::accumulate(one->believed.begin(), one->believed.end(), static_cast<std::int64_t>(0));
    const auto unheard = std::count(one->heard.begin(), one->heard.end(), false) * slots_per_vm;
    feed(one, cell::demand_changed{
                  {{team, slot_count(running), slot_count(unheard), slot_count(one->queued)}}});
}

void allowance_world::feed(const keeper_ptr& one, const cell::allowance_event& event) {
    for (auto& it : one->machine->handle(event, now())) {
        if (!std::holds_alternative<cell::allowance_grown>(it)) {
            requests_.push_back({one, std::move(it), false});
        }
    }
}

// ---- the store

void allowance_world::serve_request() {
    if (requests_.empty()) {
        return;
    }
    const auto it = any_of(requests_);
    auto one = std::move(*it);
    requests_.erase(it);
    if (const auto* what = std::get_if<cell::scan_allowances>(&one.what)) {
        cell::allowances_scanned event;
        event.operation = what->operation;
        event.rows = table_.scan(cell::allowance_prefix);
        if (store_down_) {
            event.rows = tl::make_unexpected(platform::store_error::unavailable);
        }
        answers_.push_back({one.from, event});
        return;
    }
    const auto& what = std::get<cell::commit>(one.what);
    if (one.answered_already) {
        table_.commit(what.what);
        return;
    }
    cell::commit_finished event;
    event.operation = what.operation;
    if (store_down_) {
        event.result = tl::make_unexpected(platform::store_error::unavailable);
    } else if (faults_ && chance(lost_share)) {
        event.result = tl::make_unexpected(platform::store_error::answer_lost);
        if (chance(0.4)) {
            table_.commit(what.what);
        } else if (chance(0.6)) {
            requests_.push_back({one.from, one.what, true});
        }
    } else {
        event.result = table_.commit(what.what);
    }
    answers_.push_back({one.from, event});
}

void allowance_world::deliver_answer() {
    if (answers_.empty()) {
        return;
    }
    const auto it = any_of(answers_);
    const auto one = std::move(*it);
    answers_.erase(it);
    feed(one.to, one.event);
}

// ---- VMs

// Running, and starts under way that their VM would accept.
std::int64_t allowance_world::committed_slots() const {
    auto result = running();
    for (const auto& it : starts_under_way_) {
        result += it.from->epoch >= vms_[it.from->cell][it.vm].epoch ? 1 : 0;
    }
    return result;
}

void allowance_world::send_start(const keeper_ptr& one) {
    if (one->machine->usable(team) <= slot_count(0) || one->queued == 0) {
        return;
    }
    const auto at = pick(vms_per_cell);
    // A replaced owner still sends to VMs that it heard before.
    if (!one->heard[at] || one->believed[at] >= slots_per_vm) {
        return;
    }
    --one->queued;
    ++one->believed[at];
    tell_demand(one);
    starts_under_way_.push_back({one, at});
    if (one->epoch < vms_[one->cell][at].epoch) {
        return;
    }
    ++starts_;
    std::int64_t known_limit = 0;
    for (const auto& it : keepers_) {
        known_limit = std::max(known_limit, it->limit);
    }
    if (committed_slots() > known_limit) {
        breaches_.push_back(std::to_string(committed_slots()) + " slots in use, the limit is " +
                            std::to_string(known_limit));
    }
}

void allowance_world::deliver_start() {
    if (starts_under_way_.empty()) {
        return;
    }
    const auto it = any_of(starts_under_way_);
    const auto one = *it;
    starts_under_way_.erase(it);
    auto& target = vms_[one.from->cell][one.vm];
    if (one.from->epoch < target.epoch || target.running >= slots_per_vm) {
        --one.from->believed[one.vm];
        tell_demand(one.from);
        return;
    }
    target.epoch = one.from->epoch;
    ++target.running;
}

void allowance_world::hello(const keeper_ptr& one) {
    const auto at = pick(vms_per_cell);
    auto& target = vms_[one->cell][at];
    if (one->heard[at] || one->epoch < target.epoch) {
        return;
    }
    target.epoch = one->epoch;
    one->heard[at] = true;
    one->believed[at] = target.running;
    tell_demand(one);
}

void allowance_world::report(const keeper_ptr& one) {
    const auto at = pick(vms_per_cell);
    const auto& target = vms_[one->cell][at];
    if (!one->heard[at] || target.epoch != one->epoch) {
        return;
    }
    one->believed[at] = target.running;
    for (const auto& it : starts_under_way_) {
        one->believed[at] += it.from == one && it.vm == at ? 1 : 0;
    }
    tell_demand(one);
}

void allowance_world::finish_task() {
    auto& target = vms_[pick(vms_.size())][pick(vms_per_cell)];
    const bool ends = !endless_ || chance(0.1);
    if (target.running > 0 && ends) {
        --target.running;
    }
}

std::int64_t allowance_world::running_in(std::size_t cell) const {
    return std::accumulate(vms_[cell].begin(), vms_[cell].end(), static_cast<std::int64_t>(0),
                           [](auto sum, const auto& it) { return sum + it.running; });
}

std::int64_t allowance_world::running() const {
    std::int64_t result = 0;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        result += running_in(i);
    }
    return result;
}

std::size_t allowance_world::pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

bool allowance_world::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

}  // namespace cranberrydock::standins
