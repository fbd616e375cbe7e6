// Simulates several ownership machines.
#include "ownership_simulation.hpp"

#include <cranberrydock/cell/registry_rows.hpp>

#include <algorithm>

namespace cranberrydock::standins {

using base::milliseconds;

namespace {

constexpr milliseconds tick_period{50};
constexpr milliseconds heartbeat_period{500};
constexpr milliseconds list_period{1'000};
constexpr milliseconds list_delay{5'000};
constexpr milliseconds max_drain_time{5'000};
constexpr milliseconds max_effect_delay{4'000};  // of a commit whose answer was lost
constexpr double lost_answer_share = 0.4;        // of the answers to commits
constexpr double lost_message_share = 0.8;       // of hold-off requests and answers
constexpr double clock_error = 0.01;             // between the fastest and the slowest clock

}  // namespace

std::ostream& operator<<(std::ostream& out, const fault& injected) {
    static constexpr const char* names[] = {
        "freeze",     "replace",     "restart",       "stop",     "store_down", "store_cut",
        "store_slow", "writes_slow", "lossy_answers", "mesh_cut", "mesh_lossy"};
    return out << names[static_cast<std::size_t>(injected.kind)] << " of " << injected.daemon
               << " at " << injected.start_time.count() << " ms for " << injected.duration.count()
               << " ms";
}

ownership_simulation::ownership_simulation(const ownership_simulation_settings& settings)
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
    publish_members();
    for (std::size_t i = 0; i < settings_.daemons; ++i) {
        after(random_delay(milliseconds(0), milliseconds(2'000)),
              [this, i] { start_process(i, true); });
    }
}

void ownership_simulation::add(const fault& injected) {
    faults_.push_back(injected);
    after(injected.start_time - std::min(now_, micros(injected.start_time)),
          [this, injected] { begin_fault(injected); });
}

milliseconds ownership_simulation::last_fault_end() const {
    milliseconds result{0};
    for (const auto& it : faults_) {
        result = std::max(result, it.start_time + it.duration);
    }
    return std::max(result, std::chrono::duration_cast<milliseconds>(late_effects_end_));
}

void ownership_simulation::after(micros delay, std::function<void()> action) {
    event_queue_.emplace(now_ + delay, std::move(action));
}

void ownership_simulation::run_until(milliseconds end) {
    while (!event_queue_.empty() && event_queue_.begin()->first <= micros(end)) {
        const auto it = event_queue_.begin();
        now_ = it->first;
        const auto action = std::move(it->second);
        event_queue_.erase(it);
        action();
        check_placement();
    }
    now_ = end;
}

// ---- processes

void ownership_simulation::start_process(std::size_t slot, bool new_vm) {
    if (daemons_[slot]) {
        return;
    }
    vms_[slot] += new_vm ? 1 : 0;
    const auto vm = "vm" + std::to_string(slot) + "." + std::to_string(vms_[slot]);
    auto daemon = std::make_shared<daemon_process>();
    daemon->slot = slot;
    daemon->settings.self = base::daemon_id(vm + "/" + std::to_string(++runs_[slot]));
    daemon->settings.vm = base::vm_id(vm);
    const auto& home = cells_[slot % cells_.size()];
    daemon->settings.region = home.region;
    daemon->settings.zone = home.zone;
    daemon->settings.mesh_address = {"127.0.0." + std::to_string(slot + 1), 1};
    std::uniform_real_distribution<double> clock_rate(1.0 - clock_error / 2, 1.0 + clock_error / 2);
    daemon->clock_rate = clock_rate(random_);
    daemon->clock_offset = random_delay(milliseconds(0), milliseconds(1'000'000));
    daemon->machine = std::make_unique<cell::ownership>(daemon->settings);
    daemons_[slot] = daemon;
    handle(daemon, cell::cells_configured{cells_});
    tick(daemon);
    heartbeat(daemon);
}

void ownership_simulation::end_process(std::size_t slot) {
    daemons_[slot].reset();
}

bool ownership_simulation::is_running(const daemon_ptr& daemon) const {
    return daemon && daemons_[daemon->slot] == daemon;
}

base::time_point ownership_simulation::clock_of(const daemon_process& daemon) const {
    const auto passed = static_cast<double>(now_.count()) * daemon.clock_rate;
    return base::time_point(daemon.clock_offset + micros(static_cast<std::int64_t>(passed)));
}

void ownership_simulation::tick(const daemon_ptr& recipient) {
    if (!is_running(recipient)) {
        return;
    }
    deliver(recipient, cell::tick{});
    after(tick_period, [this, recipient] { tick(recipient); });
}

void ownership_simulation::deliver(const daemon_ptr& recipient,
                                   const cell::ownership_event& event) {
    if (!is_running(recipient)) {
        return;
    }
    if (recipient->suspended) {
        // Ticks that a suspended process misses are not delivered later.
        if (!std::holds_alternative<cell::tick>(event)) {
            recipient->inbox.push_back(event);
        }
        return;
    }
    handle(recipient, event);
}

void ownership_simulation::handle(const daemon_ptr& recipient, const cell::ownership_event& event) {
    const auto effects = recipient->machine->handle(event, clock_of(*recipient));
    for (const auto& it : effects) {
        apply(recipient, it);
    }
}

// ---- faults

void ownership_simulation::begin_fault(const fault& injected) {
    ++active_faults_[injected.kind];
    ++active_faults_at_[{injected.kind, injected.daemon}];
    const auto target = daemons_[injected.daemon];
    switch (injected.kind) {
        case fault_kind::suspend:
            if (target) {
                target->suspended = true;
            }
            break;
        case fault_kind::replace:
        case fault_kind::restart:
            end_process(injected.daemon);
            break;
        case fault_kind::stop:
            if (target) {
                deliver(target, cell::stop_requested{});
            }
            break;
        default:
            break;
    }
    after(injected.duration, [this, injected] { end_fault(injected); });
}

void ownership_simulation::end_fault(const fault& injected) {
    --active_faults_[injected.kind];
    --active_faults_at_[{injected.kind, injected.daemon}];
    const auto target = daemons_[injected.daemon];
    if (injected.kind == fault_kind::replace || injected.kind == fault_kind::restart) {
        start_process(injected.daemon, injected.kind == fault_kind::replace);
    }
    if (injected.kind == fault_kind::suspend && target &&
        active_faults_at_[{injected.kind, injected.daemon}] == 0) {
        target->suspended = false;
        // The process may call may_place() before it handles any event.
        check_placement();
        auto inbox = std::exchange(target->inbox, {});
        for (const auto& it : inbox) {
            deliver(target, it);
        }
    }
}

// ---- effects

void ownership_simulation::apply(const daemon_ptr& sender, const cell::ownership_effect& effect) {
    if (const auto* body = std::get_if<cell::scan_registry>(&effect)) {
        scan(sender, *body);
    } else if (const auto* body = std::get_if<cell::commit>(&effect)) {
        commit(sender, *body);
    } else if (const auto* body = std::get_if<cell::request_hold_off>(&effect)) {
        send_hold_off_requests(sender, *body);
    } else if (const auto* body = std::get_if<cell::answer_hold_off>(&effect)) {
        send_hold_off_answer(sender, *body);
    } else if (const auto* body = std::get_if<cell::cell_gained>(&effect)) {
        const auto name = body->cell.str() + " " + std::to_string(body->epoch.value());
        if (!gained_.insert(name).second) {
            violations_.push_back("gained twice: " + name);
        }
    } else if (const auto* body = std::get_if<cell::drain_cell>(&effect)) {
        const auto id = body->cell;
        after(random_delay(milliseconds(0), max_drain_time),
              [this, sender, id] { deliver(sender, cell::cell_drained{id}); });
    } else if (std::holds_alternative<cell::stop_finished>(effect)) {
        ++finished_stop_count_;
        const auto slot = sender->slot;
        after(micros(0), [this, sender] {
            if (is_running(sender)) {
                end_process(sender->slot);
            }
        });
        after(milliseconds(500), [this, slot] { start_process(slot, true); });
    }
}

bool ownership_simulation::reaches_store(const daemon_ptr& sender) const {
    const auto down = active_faults_.find(fault_kind::store_down);
    const auto cut = active_faults_at_.find({fault_kind::store_cut, sender->slot});
    return (down == active_faults_.end() || down->second == 0) &&
           (cut == active_faults_at_.end() || cut->second == 0);
}

void ownership_simulation::scan(const daemon_ptr& sender, const cell::scan_registry& request) {
    const bool slow = active_faults_[fault_kind::store_slow] > 0;
    const auto request_delay = random_delay(milliseconds(1), milliseconds(slow ? 1'500 : 60));
    const auto answer_delay = random_delay(milliseconds(1), milliseconds(slow ? 1'500 : 60));
    after(request_delay, [this, sender, request, answer_delay] {
        cell::registry_scanned event;
        event.operation = request.operation;
        if (reaches_store(sender)) {
            auto rows = table_.scan(cell::daemon_prefix);
            const auto cells = table_.scan(cell::cell_prefix);
            rows.insert(rows.end(), cells.begin(), cells.end());
            event.rows = std::move(rows);
        } else {
            event.rows = tl::make_unexpected(platform::store_error::unavailable);
        }
        after(answer_delay, [this, sender, event] { deliver(sender, event); });
    });
}

void ownership_simulation::commit(const daemon_ptr& sender, const cell::commit& request) {
    const bool slow = active_faults_[fault_kind::store_slow] > 0;
    const bool late = slow || active_faults_[fault_kind::writes_slow] > 0;
    const auto request_delay = random_delay(milliseconds(1), milliseconds(late ? 1'500 : 60));
    const auto answer_delay = random_delay(milliseconds(1), milliseconds(slow ? 1'500 : 60));
    after(request_delay, [this, sender, request, answer_delay] {
        cell::commit_finished event;
        event.operation = request.operation;
        if (!reaches_store(sender)) {
            event.result = tl::make_unexpected(platform::store_error::unavailable);
        } else if (active_faults_[fault_kind::lossy_answers] > 0 && chance(lost_answer_share)) {
            event.result = tl::make_unexpected(platform::store_error::answer_lost);
            const auto effect_delay =
                chance(0.5) ? micros(0) : random_delay(milliseconds(1), max_effect_delay);
            if (chance(0.7)) {
                late_effects_end_ = std::max(late_effects_end_, now_ + effect_delay);
                after(effect_delay, [this, request] { commit_and_check(request.transaction); });
            }
        } else {
            event.result = commit_and_check(request.transaction);
        }
        after(answer_delay, [this, sender, event] { deliver(sender, event); });
    });
}

bool ownership_simulation::reaches_on_mesh(const daemon_ptr& sender,
                                           const daemon_ptr& recipient) const {
    for (const auto& it : {sender, recipient}) {
        const auto cut = active_faults_at_.find({fault_kind::mesh_cut, it->slot});
        if (cut != active_faults_at_.end() && cut->second > 0) {
            return false;
        }
    }
    return true;
}

ownership_simulation::daemon_ptr ownership_simulation::find(const base::daemon_id& id) const {
    for (const auto& it : daemons_) {
        if (it && it->settings.self == id) {
            return it;
        }
    }
    return nullptr;
}

void ownership_simulation::send_hold_off_requests(const daemon_ptr& sender,
                                                  const cell::request_hold_off& request) {
    for (const auto& it : request.recipients) {
        const auto recipient = find(it);
        const bool lost = active_faults_[fault_kind::mesh_lossy] > 0 && chance(lost_message_share);
        if (!recipient || lost || !reaches_on_mesh(sender, recipient)) {
            continue;
        }
        const auto call = ++last_call_;
        pending_requests_[call] = {sender, request.operation};
        const cell::hold_off_requested event{sender->settings.self, call, request.cells};
        after(random_delay(milliseconds(1), milliseconds(100)),
              [this, recipient, event] { deliver(recipient, event); });
    }
}

void ownership_simulation::send_hold_off_answer(const daemon_ptr& sender,
                                                const cell::answer_hold_off& promise) {
    const auto pending = pending_requests_.at(promise.call_id);
    const bool lost = active_faults_[fault_kind::mesh_lossy] > 0 && chance(lost_message_share);
    if (lost || !reaches_on_mesh(sender, pending.requester)) {
        return;
    }
    const cell::hold_off_answered event{sender->settings.self, pending.operation, promise.granted,
                                        promise.duration};
    after(random_delay(milliseconds(1), milliseconds(100)),
          [this, pending, event] { deliver(pending.requester, event); });
}

void ownership_simulation::heartbeat(const daemon_ptr& sender) {
    if (!is_running(sender)) {
        return;
    }
    for (const auto& it : daemons_) {
        if (it && it != sender && !sender->suspended && reaches_on_mesh(sender, it)) {
            after(random_delay(milliseconds(1), milliseconds(40)),
                  [this, it, sender] { deliver(it, cell::peer_alive{sender->settings.self}); });
        }
    }
    after(heartbeat_period, [this, sender] { heartbeat(sender); });
}

void ownership_simulation::publish_members() {
    member_listing current_list;
    current_list.at = now_;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (daemons_[i]) {
            current_list.live.push_back(daemons_[i]->settings.vm);
        }
    }
    listings_.push_back(current_list);
    while (listings_.size() > 1 && listings_[1].at + micros(list_delay) <= now_) {
        listings_.pop_front();
    }
    for (const auto& it : daemons_) {
        deliver(it, cell::daemon_vms_listed{listings_.front().live});
    }
    after(list_period, [this] { publish_members(); });
}

bool ownership_simulation::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

ownership_simulation::micros ownership_simulation::random_delay(milliseconds least,
                                                                milliseconds most) {
    std::uniform_int_distribution<std::int64_t> dist(micros(least).count(), micros(most).count());
    return micros(dist(random_));
}

}  // namespace cranberrydock::standins
