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
constexpr std::size_t max_open_exchanges = 2;
// Allows for the network round trip and for a busy relay, in time that this process listens.
constexpr base::milliseconds exchange_slack{600};
// An exchange is given up after this time even if this process has hardly listened.
constexpr base::milliseconds exchange_timeout{4'000};
constexpr base::milliseconds sweep_period{100};
// Added to a command's lifetime and its VM's wait: the relay's own call and the return of the
// outcome. In time that this process listens.
constexpr base::milliseconds outcome_slack{900};
// Commands are sent until they are this many lifetimes old.
constexpr int max_age_in_lifetimes = 2;
// A command that expires is this process's fault if this process was late by at least this much
// since it sent the command.
constexpr base::milliseconds min_own_lateness{100};
// After this many sends over one relay, a command that expires is the relay's fault.
constexpr int max_sends_per_relay = 3;
constexpr base::milliseconds permission_retry_pause{50};
// The relay's clock is read again before it is used after this time.
constexpr base::milliseconds max_clock_age{2'000};
// The lowest rate of a relay's clock relative to this process's clock. Each clock may deviate by
// 2 %.
constexpr double min_clock_rate = 0.96;

using command_callback =
    std::variant<fleet::start_callback,
                 fleet::watch_callback>;  // stop_callback is the same type as start_callback

}  // namespace

struct relayed_vm_control::open_command {
    relayed_command relayed;
    fleet::zone_name zone;  // of the VM
    command_callback done;
    base::time_point issued;
    base::duration waiting_since{0};  // listening time at which it was queued or sent last
    base::duration late_when_sent{0};
    int sends_over_relay = 0;
    bool is_repeated_poll = false;

    base::milliseconds wait() const {
        const auto* const watch = std::get_if<fleet::watch_command>(&relayed.content);
        return watch == nullptr ? base::milliseconds{0} : watch->wait;
    }

    bool is_watch() const { return std::holds_alternative<fleet::watch_command>(relayed.content); }

    // Makes a watch a query for the VM's report only, like the session's watch after a failure: the
    // VM may have restarted since the command was issued.
    void reduce_to_poll() { relayed.content = fleet::watch_command{}; }

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
    // The reading from which the highest lower bound of its clock follows.
    relay_time clock;
    base::time_point clock_received{};
    base::time_point last_reading{};
    std::vector<open_command> waiting;                       // not sent to the relay yet
    std::unordered_map<std::int64_t, open_command> pending;  // sent, without an outcome yet
    // When exchanges were sent, in listening time. Without those from before it was last avoided.
    std::map<exchange_number, base::duration> open_exchanges;
    bool is_suspect = false;  // the last sweep found a fault
    base::time_point last_exchange{};
    base::time_point avoid_until{};
    std::unique_ptr<net::timer> next_exchange;
};

relayed_vm_control::relayed_vm_control(net::event_loop& loop, fleet::vm_control& direct,
                                       std::string name, const relay_settings& settings,
                                       command_permission& permission, base::metrics& metrics)
    : loop_(loop),
      direct_(direct),
      name_(std::move(name)),
      settings_(settings),
      permission_(permission),
      metrics_(metrics),
      listening_(sweep_period) {}

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
        const bool idle = candidate.pending.empty() && candidate.waiting.empty() &&
                          candidate.open_exchanges.empty();
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
    open_command open{{{}, vm.id, vm.address, owner, command}, vm.zone, std::move(done), {}};
    open.issued = clock_.now();
    send(std::move(open));
}

void relayed_vm_control::stop(const fleet::vm_info& vm, fleet::fencing_token owner,
                              const fleet::task_ref& task, fleet::run_number run,
                              fleet::stop_callback done) {
    open_command open{
        {{}, vm.id, vm.address, owner, stop_command{task, run}}, vm.zone, std::move(done), {}};
    open.issued = clock_.now();
    send(std::move(open));
}

void relayed_vm_control::watch(const fleet::vm_info& vm, fleet::fencing_token owner,
                               const fleet::watch_command& command, fleet::watch_callback done) {
    open_command open{{{}, vm.id, vm.address, owner, command}, vm.zone, std::move(done), {}};
    open.issued = clock_.now();
    send(std::move(open));
}

void relayed_vm_control::send(open_command open) {
    fleet::vm_info vm = facts_of(open.relayed);
    vm.zone = open.zone;
    channel* const route = find_channel(vm);
    if (route == nullptr) {
        send_directly(open);
        return;
    }
    if (!sweep_timer_) {
        listening_.restart(clock_.now());
        sweep_timer_ = loop_.every(sweep_period, [this] { sweep(); });
    }
    last_command_number_ = last_command_number_.next();
    open.relayed.number = last_command_number_;
    open.waiting_since = listening_.listened(clock_.now());
    open.sends_over_relay = 0;
    route->waiting.push_back(std::move(open));
    flush_later(*route, command_batch_delay);
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

void relayed_vm_control::flush_later(channel& destination, base::duration min_delay) {
    if (destination.next_exchange || destination.open_exchanges.size() >= max_open_exchanges) {
        return;
    }
    const base::duration delay = destination.last_exchange + exchange_interval() - clock_.now();
    destination.next_exchange = loop_.after(std::max(min_delay, delay), [this, &destination] {
        destination.next_exchange.reset();
        exchange(destination);
    });
}

void relayed_vm_control::exchange(channel& relay) {
    const auto now = clock_.now();
    if (now < relay.avoid_until) {
        return;
    }
    detect_pause();
    const auto outdated = take_outdated(relay, false);
    const bool permitted = permission_.may_issue_commands();
    const bool with_commands = permitted && !relay.waiting.empty();
    if (relay.open_exchanges.size() < (with_commands ? max_open_exchanges : 1)) {
        send_exchange(relay, with_commands);
    }
    if (!permitted && !relay.waiting.empty()) {
        flush_later(relay, permission_retry_pause);
    }
    for (const auto& it : outdated) {
        it.fail(fleet::command_failure::not_delivered);
    }
}

void relayed_vm_control::send_exchange(channel& relay, bool with_commands) {
    const auto now = clock_.now();
    command_batch batch;
    batch.sender = name_;
    std::vector<command_number> sent;
    if (relay.pending.empty() && now - relay.last_reading > max_clock_age) {
        relay.run.clear();
    }
    if (!relay.run.empty()) {
        batch.relay_run = relay.run;
        batch.not_after =
            relay_time(clock_lower_bound(relay).value() + settings_.command_lifetime.count());
        if (with_commands) {
            for (auto& it : std::exchange(relay.waiting, {})) {
                it.waiting_since = listening_.listened(now);
                it.late_when_sent = listening_.late(now);
                ++it.sends_over_relay;
                sent.push_back(it.relayed.number);
                batch.commands.push_back(it.relayed);
                relay.pending.emplace(it.relayed.number.value(), std::move(it));
            }
        }
    } else if (!relay.open_exchanges.empty()) {
        return;  // a query for the relay's run is in progress
    }
    last_exchange_number_ = last_exchange_number_.next();
    relay.open_exchanges[last_exchange_number_] = listening_.listened(now);
    relay.last_exchange = now;
    metrics_.count("cranberrydock_order_exchanges_total", "");
    relay.connection->exchange_commands(
        batch, exchange_timeout,
        lifetime_.guard([this, name = relay.name, sent,
                         number = last_exchange_number_](const exchange_result& result) {
            const auto it = channels_.find(name);
            if (it == channels_.end()) {
                return;  // its commands were completed before the channel was removed
            }
            const bool is_current = it->second->open_exchanges.erase(number) > 0;
            if (result && is_current) {
                on_exchange_done(*it->second, sent, *result);
            } else if (result) {
                // The relay has been avoided since, and reports on later commands as well.
                apply_outcomes(*it->second, *result);
            } else if (is_current) {
                on_exchange_failed(*it->second, sent, result.error() == peer_liveness::refused);
            }
        }));
}

// After a pause another daemon may be the owner.
void relayed_vm_control::detect_pause() {
    const auto now = clock_.now();
    if (sweep_timer_ && listening_.gap(now) > settings_.command_lifetime + sweep_period) {
        issued_before_pause_ = now - settings_.command_lifetime;
    }
}

bool relayed_vm_control::is_outdated(const open_command& open) const {
    const auto now = clock_.now();
    const auto* const start = std::get_if<fleet::start_command>(&open.relayed.content);
    const bool may_arrive_late = start != nullptr && start->not_after &&
                                 now + settings_.command_lifetime > *start->not_after;
    return may_arrive_late || open.issued < issued_before_pause_ ||
           now - open.issued > settings_.command_lifetime * max_age_in_lifetimes;
}

std::vector<relayed_vm_control::open_command> relayed_vm_control::take_outdated(channel& queue,
                                                                                bool all) {
    std::vector<open_command> out;
    for (auto& it : std::exchange(queue.waiting, {})) {
        const bool outdated = all || is_outdated(it);
        if (outdated && !it.is_watch()) {
            out.push_back(std::move(it));
            continue;
        }
        if (outdated) {
            it.reduce_to_poll();
        }
        queue.waiting.push_back(std::move(it));
    }
    return out;
}

relay_time relayed_vm_control::clock_lower_bound(const channel& relay) const {
    const auto elapsed =
        std::chrono::duration_cast<base::milliseconds>(clock_.now() - relay.clock_received);
    return relay_time(
        relay.clock.value() +
        static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * min_clock_rate));
}

// A reading that waited for this process gives a lower bound that is too low by that time, so an
// earlier reading may give a higher one.
void relayed_vm_control::record_clock(channel& updated, const outcome_batch& received) {
    const auto now = clock_.now();
    updated.last_reading = now;
    if (received.run != updated.run || received.now >= clock_lower_bound(updated)) {
        updated.clock = received.now;
        updated.clock_received = now;
    }
    updated.run = received.run;
}

void relayed_vm_control::on_exchange_done(channel& relay, const std::vector<command_number>& sent,
                                          const outcome_batch& received) {
    if (received.run != relay.run) {
        const bool restarted = !relay.run.empty();
        record_clock(relay, received);
        if (restarted) {
            // The new run has ignored the commands that were sent to the previous run.
            requeue(relay, sent);
            avoid(relay, "restarted");
        }
        flush_later(relay, command_batch_delay);
        return;
    }
    record_clock(relay, received);
    apply_outcomes(relay, received);
}

void relayed_vm_control::apply_outcomes(channel& relay, const outcome_batch& received) {
    std::vector<command_number> expired;
    for (const auto& it : received.outcomes) {
        if (std::holds_alternative<command_expired>(it.content)) {
            expired.push_back(it.number);
        } else {
            apply_outcome(relay, it);
        }
    }
    if (!expired.empty()) {
        on_expired(relay, expired);
    }
    if (!relay.waiting.empty() || !relay.pending.empty()) {
        flush_later(relay, command_batch_delay);
    }
}

void relayed_vm_control::on_expired(channel& relay, const std::vector<command_number>& expired) {
    const auto now = clock_.now();
    const auto late = listening_.late(now);
    base::duration own_lateness{0};
    int sends = 0;
    bool any_pending = false;
    for (const auto& number : expired) {
        const auto it = relay.pending.find(number.value());
        if (it != relay.pending.end()) {
            any_pending = true;
            own_lateness = std::max(own_lateness, late - it->second.late_when_sent);
            sends = std::max(sends, it->second.sends_over_relay);
        }
    }
    if (!any_pending) {
        return;  // all of them were given up when the relay was last avoided
    }
    requeue(relay, expired);
    if (own_lateness < min_own_lateness || sends >= max_sends_per_relay) {
        avoid(relay, "late");
        return;
    }
    metrics_.count("cranberrydock_commands_resent_total", "reason=\"own_lateness\"",
                   expired.size());
    if (resent_log_limiter_.allows(now)) {
        spdlog::info("event=commands_resent relay={} commands={} own_late_ms={} sends={}",
                     relay.name, expired.size(),
                     std::chrono::duration_cast<base::milliseconds>(own_lateness).count(), sends);
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

// Returns commands to the queue that the relay certainly did not pass on.
void relayed_vm_control::requeue(channel& source, const std::vector<command_number>& numbers) {
    for (const auto& number : numbers) {
        const auto it = source.pending.find(number.value());
        if (it != source.pending.end()) {
            it->second.waiting_since = listening_.listened(clock_.now());
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

// Stops using the relay for a while. Sends its queued commands over other routes. Of the commands
// that it has received, watches are repeated once over other routes, since the VMs may be well. The
// others may have been carried out and are completed with `answer_lost`.
void relayed_vm_control::avoid(channel& avoided, const char* reason) {
    const auto now = clock_.now();
    detect_pause();
    spdlog::warn(
        "event=relay_avoided relay={} reason={} pending={} waiting={} for_ms={} own_gap_ms={}",
        avoided.name, reason, avoided.pending.size(), avoided.waiting.size(),
        settings_.avoid_after_failure.count(),
        std::chrono::duration_cast<base::milliseconds>(listening_.gap(now)).count());
    metrics_.count("cranberrydock_relays_avoided_total", std::string("reason=\"") + reason + "\"");
    avoided.avoid_until = now + settings_.avoid_after_failure;
    avoided.run.clear();
    avoided.next_exchange.reset();
    avoided.open_exchanges.clear();
    avoided.is_suspect = false;
    const auto outdated = take_outdated(avoided, !permission_.may_issue_commands());
    auto pending = std::exchange(avoided.pending, {});
    for (auto& it : std::exchange(avoided.waiting, {})) {
        send(std::move(it));
    }
    for (const auto& it : outdated) {
        it.fail(fleet::command_failure::not_delivered);
    }
    std::size_t polls = 0;
    for (auto& it : pending) {
        open_command& lost = it.second;
        if (!lost.is_watch() || std::exchange(lost.is_repeated_poll, true)) {
            lost.fail(fleet::command_failure::answer_lost);
            continue;
        }
        ++polls;
        lost.reduce_to_poll();
        send(std::move(lost));
    }
    if (polls > 0) {
        metrics_.count("cranberrydock_commands_resent_total", "reason=\"relay_avoided\"", polls);
    }
}

const char* relayed_vm_control::find_fault(const channel& relay) const {
    const auto listened = listening_.listened(clock_.now());
    const bool silent = std::any_of(
        relay.open_exchanges.begin(), relay.open_exchanges.end(), [&](const auto& sent) {
            return listened - sent.second > max_exchange_time + exchange_slack;
        });
    if (silent) {
        return "silent";
    }
    const bool overdue =
        std::any_of(relay.pending.begin(), relay.pending.end(), [&](const auto& open) {
            return listened - open.second.waiting_since >
                   settings_.command_lifetime + open.second.wait() + outcome_slack;
        });
    const bool stuck =
        std::any_of(relay.waiting.begin(), relay.waiting.end(), [&](const auto& open) {
            return listened - open.waiting_since > settings_.command_lifetime;
        });
    return overdue || stuck ? "slow" : nullptr;
}

// A relay is avoided if two sweeps find a fault: events that arrived before the first one have been
// processed by the second.
void relayed_vm_control::sweep() {
    detect_pause();
    listening_.tick(clock_.now());
    const bool permitted = permission_.may_issue_commands();
    std::vector<std::pair<channel*, const char*>> faulty;
    bool any_open = false;
    for (const auto& it : channels_) {
        channel& candidate = *it.second;
        any_open = any_open || !candidate.pending.empty() || !candidate.waiting.empty() ||
                   !candidate.open_exchanges.empty();
        const char* const fault = permitted ? find_fault(candidate) : nullptr;
        if (fault != nullptr && candidate.is_suspect) {
            faulty.emplace_back(&candidate, fault);
        }
        candidate.is_suspect = fault != nullptr;
    }
    for (const auto& it : faulty) {
        avoid(*it.first, it.second);
    }
    drop_idle_channels();
    if (!any_open) {
        sweep_timer_.reset();
    }
}

}  // namespace cranberrydock::fleet_daemon
