// The simulated world of ownership machines.
#include "ownership_world.hpp"

#include <cranberrydock/cell/registry_rows.hpp>

#include <algorithm>

namespace cranberrydock::standins {

using base::milliseconds;

namespace {

constexpr milliseconds tick_period{50};
constexpr milliseconds heartbeat_period{500};
constexpr milliseconds list_period{1'000};
constexpr milliseconds list_lag{5'000};
constexpr milliseconds longest_drain{5'000};
constexpr milliseconds latest_effect{4'000};  // of a commit whose answer was lost
constexpr double lost_share = 0.4;            // of answers to commits
constexpr double lost_on_mesh = 0.8;
constexpr double clock_error = 0.01;

}  // namespace

std::ostream& operator<<(std::ostream& out, const fault& one) {
    static constexpr const char* names[] = {
        "freeze",     "replace",     "restart",       "stop",     "store_down", "store_cut",
        "store_slow", "writes_slow", "lossy_answers", "mesh_cut", "mesh_lossy"};
    return out << names[static_cast<std::size_t>(one.kind)] << " of " << one.who << " at "
               << one.at.count() << " ms for " << one.lasting.count() << " ms";
}

ownership_world::ownership_world(const ownership_world_settings& settings)
    : settings_(settings),
      random_(settings.seed),
      daemons_(settings.daemons),
      runs_(settings.daemons, 0),
      vms_(settings.daemons, 0) {
    for (std::size_t i = 0; i < settings_.cells; ++i) {
        const auto name = std::to_string(i);
        cells_.push_back({base::cell_id("c" + name), base::region_name(i < 2 ? "north" : "south"),
                          base::zone_name("z" + name)});
    }
    list_members();
    for (std::size_t i = 0; i < settings_.daemons; ++i) {
        after(random_delay(milliseconds(0), milliseconds(2'000)), [this, i] { start(i, true); });
    }
}

void ownership_world::add(const fault& one) {
    faults_.push_back(one);
    after(one.at - std::min(now_, micros(one.at)), [this, one] { begin_fault(one); });
}

milliseconds ownership_world::faults_end() const {
    milliseconds result{0};
    for (const auto& it : faults_) {
        result = std::max(result, it.at + it.lasting);
    }
    return std::max(result, std::chrono::duration_cast<milliseconds>(late_effects_end_));
}

void ownership_world::after(micros delay, std::function<void()> action) {
    agenda_.emplace(now_ + delay, std::move(action));
}

void ownership_world::run_until(milliseconds end) {
    while (!agenda_.empty() && agenda_.begin()->first <= micros(end)) {
        const auto it = agenda_.begin();
        now_ = it->first;
        const auto action = std::move(it->second);
        agenda_.erase(it);
        action();
        judge_moment();
    }
    now_ = end;
}

// ---- processes

void ownership_world::start(std::size_t slot, bool new_vm) {
    if (daemons_[slot]) {
        return;
    }
    vms_[slot] += new_vm ? 1 : 0;
    const auto vm = "vm" + std::to_string(slot) + "." + std::to_string(vms_[slot]);
    auto one = std::make_shared<daemon>();
    one->slot = slot;
    one->settings.self = base::daemon_id(vm + "/" + std::to_string(++runs_[slot]));
    one->settings.vm = base::vm_id(vm);
    const auto& home = cells_[slot % cells_.size()];
    one->settings.region = home.region;
    one->settings.zone = home.zone;
    one->settings.mesh_address = {"127.0.0." + std::to_string(slot + 1), 1};
    std::uniform_real_distribution<double> rate(1.0 - clock_error / 2, 1.0 + clock_error / 2);
    one->rate = rate(random_);
    one->offset = random_delay(milliseconds(0), milliseconds(1'000'000));
    one->machine = std::make_unique<cell::ownership>(one->settings);
    daemons_[slot] = one;
    handle(one, cell::cells_known{cells_});
    tick(one);
    heartbeat(one);
}

void ownership_world::end(std::size_t slot) {
    daemons_[slot].reset();
}

bool ownership_world::is_running(const daemon_ptr& one) const {
    return one && daemons_[one->slot] == one;
}

base::time_point ownership_world::clock_of(const daemon& one) const {
    const auto passed = static_cast<double>(now_.count()) * one.rate;
    return base::time_point(one.offset + micros(static_cast<std::int64_t>(passed)));
}

void ownership_world::tick(const daemon_ptr& to) {
    if (!is_running(to)) {
        return;
    }
    deliver(to, cell::tick{});
    after(tick_period, [this, to] { tick(to); });
}

void ownership_world::deliver(const daemon_ptr& to, const cell::ownership_event& event) {
    if (!is_running(to)) {
        return;
    }
    if (to->frozen) {
        // Ticks of a paused process are not made up for.
        if (!std::holds_alternative<cell::tick>(event)) {
            to->inbox.push_back(event);
        }
        return;
    }
    handle(to, event);
}

void ownership_world::handle(const daemon_ptr& to, const cell::ownership_event& event) {
    const auto effects = to->machine->handle(event, clock_of(*to));
    for (const auto& it : effects) {
        apply(to, it);
    }
}

// ---- faults

void ownership_world::begin_fault(const fault& one) {
    ++active_[one.kind];
    ++active_at_[{one.kind, one.who}];
    const auto target = daemons_[one.who];
    switch (one.kind) {
        case fault_kind::freeze:
            if (target) {
                target->frozen = true;
            }
            break;
        case fault_kind::replace:
        case fault_kind::restart:
            end(one.who);
            break;
        case fault_kind::stop:
            if (target) {
                deliver(target, cell::stop_requested{});
            }
            break;
        default:
            break;
    }
    after(one.lasting, [this, one] { end_fault(one); });
}

void ownership_world::end_fault(const fault& one) {
    --active_[one.kind];
    --active_at_[{one.kind, one.who}];
    const auto target = daemons_[one.who];
    if (one.kind == fault_kind::replace || one.kind == fault_kind::restart) {
        start(one.who, one.kind == fault_kind::replace);
    }
    if (one.kind == fault_kind::freeze && target && active_at_[{one.kind, one.who}] == 0) {
        target->frozen = false;
        judge_moment();  // it may look at may_place() before it sees any event
        auto inbox = std::exchange(target->inbox, {});
        for (const auto& it : inbox) {
            deliver(target, it);
        }
    }
}

// ---- effects

void ownership_world::apply(const daemon_ptr& from, const cell::ownership_effect& effect) {
    if (const auto* what = std::get_if<cell::scan_registry>(&effect)) {
        scan(from, *what);
    } else if (const auto* what = std::get_if<cell::commit>(&effect)) {
        commit(from, *what);
    } else if (const auto* what = std::get_if<cell::ask_silence>(&effect)) {
        ask(from, *what);
    } else if (const auto* what = std::get_if<cell::promise_silence>(&effect)) {
        answer(from, *what);
    } else if (const auto* what = std::get_if<cell::cell_gained>(&effect)) {
        const auto name = what->cell.str() + " " + std::to_string(what->epoch.value());
        if (!gained_.insert(name).second) {
            breaches_.push_back("gained twice: " + name);
        }
    } else if (const auto* what = std::get_if<cell::drain_cell>(&effect)) {
        const auto id = what->cell;
        after(random_delay(milliseconds(0), longest_drain),
              [this, from, id] { deliver(from, cell::cell_drained{id}); });
    } else if (std::holds_alternative<cell::stop_finished>(effect)) {
        ++stops_finished_;
        const auto slot = from->slot;
        after(micros(0), [this, from] {
            if (is_running(from)) {
                end(from->slot);
            }
        });
        after(milliseconds(500), [this, slot] { start(slot, true); });
    }
}

bool ownership_world::store_reached(const daemon_ptr& from) const {
    const auto down = active_.find(fault_kind::store_down);
    const auto cut = active_at_.find({fault_kind::store_cut, from->slot});
    return (down == active_.end() || down->second == 0) &&
           (cut == active_at_.end() || cut->second == 0);
}

void ownership_world::scan(const daemon_ptr& from, const cell::scan_registry& what) {
    const bool slow = active_[fault_kind::store_slow] > 0;
    const auto there = random_delay(milliseconds(1), milliseconds(slow ? 1'500 : 60));
    const auto back = random_delay(milliseconds(1), milliseconds(slow ? 1'500 : 60));
    after(there, [this, from, what, back] {
        cell::registry_scanned event;
        event.operation = what.operation;
        if (store_reached(from)) {
            auto rows = table_.scan(cell::daemon_prefix);
            const auto cells = table_.scan(cell::cell_prefix);
            rows.insert(rows.end(), cells.begin(), cells.end());
            event.rows = std::move(rows);
        } else {
            event.rows = tl::make_unexpected(platform::store_error::unavailable);
        }
        after(back, [this, from, event] { deliver(from, event); });
    });
}

void ownership_world::commit(const daemon_ptr& from, const cell::commit& what) {
    const bool slow = active_[fault_kind::store_slow] > 0;
    const bool late = slow || active_[fault_kind::writes_slow] > 0;
    const auto there = random_delay(milliseconds(1), milliseconds(late ? 1'500 : 60));
    const auto back = random_delay(milliseconds(1), milliseconds(slow ? 1'500 : 60));
    after(there, [this, from, what, back] {
        cell::commit_finished event;
        event.operation = what.operation;
        if (!store_reached(from)) {
            event.result = tl::make_unexpected(platform::store_error::unavailable);
        } else if (active_[fault_kind::lossy_answers] > 0 && chance(lost_share)) {
            event.result = tl::make_unexpected(platform::store_error::answer_lost);
            const auto late =
                chance(0.5) ? micros(0) : random_delay(milliseconds(1), latest_effect);
            if (chance(0.7)) {
                late_effects_end_ = std::max(late_effects_end_, now_ + late);
                after(late, [this, what] { commit_judged(what.what); });
            }
        } else {
            event.result = commit_judged(what.what);
        }
        after(back, [this, from, event] { deliver(from, event); });
    });
}

bool ownership_world::mesh_reached(const daemon_ptr& from, const daemon_ptr& to) const {
    for (const auto& it : {from, to}) {
        const auto cut = active_at_.find({fault_kind::mesh_cut, it->slot});
        if (cut != active_at_.end() && cut->second > 0) {
            return false;
        }
    }
    return true;
}

ownership_world::daemon_ptr ownership_world::find(const base::daemon_id& id) const {
    for (const auto& it : daemons_) {
        if (it && it->settings.self == id) {
            return it;
        }
    }
    return nullptr;
}

void ownership_world::ask(const daemon_ptr& from, const cell::ask_silence& what) {
    for (const auto& it : what.to) {
        const auto to = find(it);
        const bool lost = active_[fault_kind::mesh_lossy] > 0 && chance(lost_on_mesh);
        if (!to || lost || !mesh_reached(from, to)) {
            continue;
        }
        const auto call = ++calls_;
        questions_[call] = {from, what.operation};
        const cell::silence_asked event{from->settings.self, call, what.cells};
        after(random_delay(milliseconds(1), milliseconds(100)),
              [this, to, event] { deliver(to, event); });
    }
}

void ownership_world::answer(const daemon_ptr& from, const cell::promise_silence& what) {
    const auto asked = questions_.at(what.call);
    const bool lost = active_[fault_kind::mesh_lossy] > 0 && chance(lost_on_mesh);
    if (lost || !mesh_reached(from, asked.asker)) {
        return;
    }
    const cell::promise_received event{from->settings.self, asked.operation, what.given,
                                       what.lasting};
    after(random_delay(milliseconds(1), milliseconds(100)),
          [this, asked, event] { deliver(asked.asker, event); });
}

void ownership_world::heartbeat(const daemon_ptr& from) {
    if (!is_running(from)) {
        return;
    }
    for (const auto& it : daemons_) {
        if (it && it != from && !from->frozen && mesh_reached(from, it)) {
            after(random_delay(milliseconds(1), milliseconds(40)),
                  [this, it, from] { deliver(it, cell::peer_heard{from->settings.self}); });
        }
    }
    after(heartbeat_period, [this, from] { heartbeat(from); });
}

void ownership_world::list_members() {
    listing one;
    one.at = now_;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (daemons_[i]) {
            one.live.push_back(daemons_[i]->settings.vm);
        }
    }
    listings_.push_back(one);
    while (listings_.size() > 1 && listings_[1].at + micros(list_lag) <= now_) {
        listings_.pop_front();
    }
    for (const auto& it : daemons_) {
        deliver(it, cell::entries_listed{listings_.front().live});
    }
    after(list_period, [this] { list_members(); });
}

bool ownership_world::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

ownership_world::micros ownership_world::random_delay(milliseconds least, milliseconds most) {
    std::uniform_int_distribution<std::int64_t> dist(micros(least).count(), micros(most).count());
    return micros(dist(random_));
}

}  // namespace cranberrydock::standins
