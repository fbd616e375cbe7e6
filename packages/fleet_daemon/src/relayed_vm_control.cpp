// Sends commands to the VMs of a large fleet through other daemons.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/fleet_daemon/command_relay.hpp>
#include <cranberrydock/fleet_daemon/relayed_vm_control.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

// Commands that are issued within this time are sent in one batch, even if the relay is idle.
constexpr base::milliseconds command_batch_delay{2};
// One exchange stays open for outcomes while the next one carries new commands.
constexpr int max_open_exchanges = 2;
// Allows for the network round trip and for a busy relay.
constexpr base::milliseconds exchange_slack{600};
constexpr base::milliseconds sweep_period{100};
// Added to a command's lifetime and its VM's wait: the relay's own call and the return of the
// outcome.
constexpr base::milliseconds outcome_slack{900};

using command_callback =
    std::variant<fleet::start_callback,
                 fleet::watch_callback>;  // stop_callback is the same type as start_callback

}  // namespace

struct relayed_vm_control::open_command {
    relayed_command relayed;
    fleet::zone_name zone;  // of the VM
    command_callback done;
    base::time_point issued;

    base::milliseconds wait() const {
        const auto* const watch = std::get_if<fleet::watch_command>(&relayed.content);
        return watch == nullptr ? base::milliseconds{0} : watch->wait;
    }

    void fail(fleet::command_failure failure) const {
        std::visit([failure](const auto& callback) { callback(tl::unexpected(failure)); }, done);
    }
};

// The exchanges with one relay.
struct relayed_vm_control::channel {
    std::string name;
    std::shared_ptr<peer> connection;
    // The relay's run and clock as last received. An empty run means that it is not known yet.
    std::string run;
    relay_time clock;
    base::time_point clock_received{};
    std::vector<open_command> waiting;                       // not sent to the relay yet
    std::unordered_map<std::int64_t, open_command> pending;  // sent, without an outcome yet
    int open_exchanges = 0;
    base::time_point last_exchange{};
    base::time_point avoid_until{};
    std::unique_ptr<net::timer> next_exchange;
};

relayed_vm_control::relayed_vm_control(net::event_loop& loop, fleet::vm_control& direct,
                                       std::string name, const relay_settings& settings,
                                       base::metrics& metrics)
    : loop_(loop),
      direct_(direct),
      name_(std::move(name)),
      settings_(settings),
      metrics_(metrics) {}

relayed_vm_control::~relayed_vm_control() = default;

void relayed_vm_control::set_candidates(const std::map<std::string, relay_candidate>& candidates) {
    candidates_ = candidates;
    choose_relays();
}

void relayed_vm_control::set_vm_count(std::size_t count) {
    if (vm_count_ != count) {
        vm_count_ = count;
        choose_relays();
    }
}

void relayed_vm_control::drop_queued_commands() {
    for (const auto& it : channels_) {
        it.second->waiting.clear();
        it.second->pending.clear();
    }
}

void relayed_vm_control::choose_relays() {
    zones_.clear();
    for (const auto& it : candidates_) {
        auto& candidate = channels_[it.first];
        if (!candidate) {
            candidate = std::make_unique<channel>();
            candidate->name = it.first;
        }
        candidate->connection = it.second.connection;
        zones_[it.second.zone].relays.push_back(candidate.get());
    }
    const std::size_t wanted = (vm_count_ + settings_.vms_per_relay - 1) /
                               std::max<std::size_t>(1, settings_.vms_per_relay);
    const std::size_t relays_per_zone =
        zones_.empty() ? 0 : (wanted + zones_.size() - 1) / zones_.size();
    used_relays_ = 0;
    for (auto& it : zones_) {
        auto& relays = it.second.relays;
        std::stable_sort(relays.begin(), relays.end(), [this](const auto* a, const auto* b) {
            return candidates_.at(a->name).cores > candidates_.at(b->name).cores;
        });
        it.second.used = std::min(relays.size(), relays_per_zone);
        used_relays_ += it.second.used;
    }
    drop_idle_channels();
}

// Keeps the channel of a daemon that is shutting down until it has reported all outcomes.
void relayed_vm_control::drop_idle_channels() {
    for (auto it = channels_.begin(); it != channels_.end();) {
        const channel& candidate = *it->second;
        const bool idle =
            candidate.pending.empty() && candidate.waiting.empty() && candidate.open_exchanges == 0;
        it = idle && candidates_.count(it->first) == 0 ? channels_.erase(it) : std::next(it);
    }
}

relayed_vm_control::channel* relayed_vm_control::find_channel(const fleet::vm_info& vm) {
    const auto zone = zones_.find(vm.zone);
    if (vm_count_ < settings_.min_vm_count || zone == zones_.end()) {
        return nullptr;
    }
    const auto now = clock_.now();
    channel* best = nullptr;
    std::uint64_t best_weight = 0;
    const auto& relays = zone->second.relays;
    for (std::size_t i = 0; i < relays.size(); ++i) {
        // Relays beyond the first `used` are considered only if all of those are being avoided.
        if (i >= zone->second.used && best != nullptr) {
            break;
        }
        if (now < relays[i]->avoid_until) {
            continue;
        }
        const auto weight = base::rendezvous_weight(vm.id.str(), relays[i]->name);
        if (best == nullptr || weight > best_weight) {
            best = relays[i];
            best_weight = weight;
        }
    }
    return best;
}

void relayed_vm_control::start(const fleet::vm_info& vm, fleet::fencing_token owner,
                               const fleet::start_command& command, fleet::start_callback done) {
    send({{{}, vm.id, vm.address, owner, command}, vm.zone, std::move(done), clock_.now()});
}

void relayed_vm_control::stop(const fleet::vm_info& vm, fleet::fencing_token owner,
                              const fleet::task_ref& task, fleet::run_number run,
                              fleet::stop_callback done) {
    send({{{}, vm.id, vm.address, owner, stop_command{task, run}},
          vm.zone,
          std::move(done),
          clock_.now()});
}

void relayed_vm_control::watch(const fleet::vm_info& vm, fleet::fencing_token owner,
                               const fleet::watch_command& command, fleet::watch_callback done) {
    send({{{}, vm.id, vm.address, owner, command}, vm.zone, std::move(done), clock_.now()});
}

void relayed_vm_control::send(open_command open) {
    fleet::vm_info vm = facts_of(open.relayed);
    vm.zone = open.zone;
    channel* const route = find_channel(vm);
    if (route == nullptr) {
        send_directly(open);
        return;
    }
    last_command_number_ = last_command_number_.next();
    open.relayed.number = last_command_number_;
    route->waiting.push_back(std::move(open));
    flush_later(*route);
    if (!sweep_) {
        sweep_ = loop_.every(sweep_period, [this] { abandon_overdue_commands(); });
    }
}

void relayed_vm_control::send_directly(const open_command& open) {
    const fleet::vm_info vm = facts_of(open.relayed);
    const auto& content = open.relayed.content;
    if (const auto* const start = std::get_if<fleet::start_command>(&content)) {
        direct_.start(vm, open.relayed.owner, *start, std::get<fleet::start_callback>(open.done));
    } else if (const auto* const stop = std::get_if<stop_command>(&content)) {
        direct_.stop(vm, open.relayed.owner, stop->task, stop->run,
                     std::get<fleet::start_callback>(open.done));
    } else {
        direct_.watch(vm, open.relayed.owner, std::get<fleet::watch_command>(content),
                      std::get<fleet::watch_callback>(open.done));
    }
}

base::duration relayed_vm_control::exchange_interval() const {
    return settings_.exchange_interval_per_relay * static_cast<std::int64_t>(used_relays_);
}

void relayed_vm_control::flush_later(channel& destination) {
    if (destination.next_exchange || destination.open_exchanges >= max_open_exchanges) {
        return;
    }
    const base::duration delay = destination.last_exchange + exchange_interval() - clock_.now();
    destination.next_exchange =
        loop_.after(std::max<base::duration>(command_batch_delay, delay), [this, &destination] {
            destination.next_exchange.reset();
            exchange(destination);
        });
}

void relayed_vm_control::exchange(channel& relay) {
    const auto now = clock_.now();
    const bool enough_open =
        relay.open_exchanges >= (relay.waiting.empty() ? 1 : max_open_exchanges);
    if (enough_open || now < relay.avoid_until) {
        return;
    }
    command_batch batch;
    batch.sender = name_;
    std::vector<command_number> sent;
    std::vector<open_command> too_old;
    if (!relay.run.empty()) {
        batch.relay_run = relay.run;
        // A lower bound of the relay's clock plus the lifetime of a command.
        const auto elapsed =
            std::chrono::duration_cast<base::milliseconds>(now - relay.clock_received);
        batch.not_after =
            relay_time(relay.clock.value() + elapsed.count() + settings_.command_lifetime.count());
        for (auto& it : std::exchange(relay.waiting, {})) {
            if (now - it.issued > settings_.command_lifetime) {
                too_old.push_back(std::move(it));  // this process was paused
                continue;
            }
            sent.push_back(it.relayed.number);
            batch.commands.push_back(it.relayed);
            relay.pending.emplace(it.relayed.number.value(), std::move(it));
        }
    } else if (relay.open_exchanges > 0) {
        return;  // a query for the relay's run is in progress
    }
    ++relay.open_exchanges;
    relay.last_exchange = now;
    metrics_.count("cranberrydock_order_exchanges_total", "");
    relay.connection->exchange_commands(
        batch, max_exchange_time + exchange_slack,
        lifetime_.guard([this, name = relay.name, sent](const exchange_result& result) {
            const auto it = channels_.find(name);
            if (it == channels_.end()) {
                return;  // its commands were completed before the channel was removed
            }
            --it->second->open_exchanges;
            if (result) {
                on_exchange_done(*it->second, sent, *result);
            } else {
                on_exchange_failed(*it->second, sent,
                                   result.error() == peer_liveness::process_ended);
            }
        }));
    for (const auto& it : too_old) {
        it.fail(fleet::command_failure::not_delivered);
    }
}

void relayed_vm_control::record_clock(channel& updated, const outcome_batch& received) {
    updated.run = received.run;
    updated.clock = received.now;
    updated.clock_received = clock_.now();
}

void relayed_vm_control::on_exchange_done(channel& relay, const std::vector<command_number>& sent,
                                          const outcome_batch& received) {
    if (clock_.now() < relay.avoid_until) {
        return;
    }
    if (received.run != relay.run) {
        const bool restarted = !relay.run.empty();
        record_clock(relay, received);
        if (restarted) {
            // The new run has ignored the commands that were sent to the previous run.
            requeue(relay, sent);
            avoid(relay, "restarted");
        }
        flush_later(relay);
        return;
    }
    record_clock(relay, received);
    std::vector<command_number> expired;
    for (const auto& it : received.outcomes) {
        if (std::holds_alternative<command_expired>(it.content)) {
            expired.push_back(it.number);
        } else {
            apply_outcome(relay, it);
        }
    }
    if (!expired.empty()) {
        requeue(relay, expired);
        avoid(relay, "late");
    } else if (!relay.waiting.empty() || !relay.pending.empty()) {
        flush_later(relay);
    }
}

void relayed_vm_control::apply_outcome(channel& source, const relayed_outcome& outcome) {
    const auto it = source.pending.find(outcome.number.value());
    if (it == source.pending.end()) {
        return;  // abandoned, or reported twice
    }
    const open_command completed = std::move(it->second);
    source.pending.erase(it);
    if (const auto* const failure = std::get_if<fleet::command_failure>(&outcome.content)) {
        completed.fail(*failure);
        return;
    }
    const auto* const time = std::get_if<fleet::vm_time>(&outcome.content);
    const auto* const report = std::get_if<fleet::vm_report>(&outcome.content);
    if (time != nullptr && std::holds_alternative<fleet::start_callback>(completed.done)) {
        std::get<fleet::start_callback>(completed.done)(*time);
    } else if (report != nullptr && std::holds_alternative<fleet::watch_callback>(completed.done)) {
        std::get<fleet::watch_callback>(completed.done)(*report);
    } else {
        spdlog::warn("event=outcome_unreadable relay={} vm={}", source.name,
                     completed.relayed.vm.str());
        completed.fail(fleet::command_failure::answer_lost);
    }
}

// Returns commands to the queue that the relay certainly did not pass on. avoid() then sends them
// over another route.
void relayed_vm_control::requeue(channel& source, const std::vector<command_number>& numbers) {
    for (const auto& number : numbers) {
        const auto it = source.pending.find(number.value());
        if (it != source.pending.end()) {
            source.waiting.push_back(std::move(it->second));
            source.pending.erase(it);
        }
    }
}

void relayed_vm_control::on_exchange_failed(channel& relay, const std::vector<command_number>& sent,
                                            bool not_sent) {
    if (not_sent) {
        requeue(relay, sent);
    }
    avoid(relay, not_sent ? "refused" : "silent");
}

// Stops using the relay for a while. Sends its queued commands over other routes, and completes the
// commands that it has received with `answer_lost`.
void relayed_vm_control::avoid(channel& avoided, const char* reason) {
    const auto now = clock_.now();
    spdlog::warn("event=relay_avoided relay={} reason={} pending={} waiting={} for_ms={}",
                 avoided.name, reason, avoided.pending.size(), avoided.waiting.size(),
                 settings_.avoid_after_failure.count());
    metrics_.count("cranberrydock_relays_avoided_total", std::string("reason=\"") + reason + "\"");
    avoided.avoid_until = now + settings_.avoid_after_failure;
    avoided.run.clear();
    avoided.next_exchange.reset();
    const auto pending = std::exchange(avoided.pending, {});
    const auto waiting = std::exchange(avoided.waiting, {});
    for (const auto& it : waiting) {
        if (now - it.issued > settings_.command_lifetime) {
            it.fail(fleet::command_failure::not_delivered);
        } else {
            send(it);
        }
    }
    for (const auto& it : pending) {
        it.second.fail(fleet::command_failure::answer_lost);
    }
}

void relayed_vm_control::abandon_overdue_commands() {
    const auto now = clock_.now();
    std::vector<channel*> slow;
    bool any_open = false;
    for (const auto& it : channels_) {
        channel& candidate = *it.second;
        any_open = any_open || !candidate.pending.empty() || !candidate.waiting.empty();
        const bool overdue =
            std::any_of(candidate.pending.begin(), candidate.pending.end(), [&](const auto& open) {
                return now - open.second.issued >
                       settings_.command_lifetime + open.second.wait() + outcome_slack;
            });
        const bool stuck = std::any_of(
            candidate.waiting.begin(), candidate.waiting.end(),
            [&](const auto& open) { return now - open.issued > settings_.command_lifetime; });
        if (overdue || stuck) {
            slow.push_back(&candidate);
        }
    }
    for (channel* const it : slow) {
        avoid(*it, "slow");
    }
    drop_idle_channels();
    if (!any_open) {
        sweep_.reset();
    }
}

}  // namespace cranberrydock::fleet_daemon
