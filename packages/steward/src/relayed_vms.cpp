// The VMs of a large fleet, reached through other daemons.
#include <cranberrydock/base/rendezvous.hpp>
#include <cranberrydock/steward/order_relay.hpp>
#include <cranberrydock/steward/relayed_vms.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace cranberrydock::steward {
namespace {

// Orders within so long go together, also when nothing was sent lately.
constexpr base::milliseconds gather_orders{2};
// One exchange waits for outcomes while the next takes orders.
constexpr int most_open_exchanges = 2;
// For the way there and back, and a busy relay.
constexpr base::milliseconds exchange_slack{600};
constexpr base::milliseconds sweep_period{100};
// Beyond the life of an order and its VM's wait: the relay's own call, and the way back.
constexpr base::milliseconds outcome_slack{900};

using any_done =
    std::variant<fleet::start_done, fleet::watch_done>;  // stops are answered as starts

}  // namespace

struct relayed_vms::open_order {
    relayed_order order;
    fleet::zone_name zone;  // of the VM
    any_done done;
    base::time_point made;

    base::milliseconds wait() const {
        const auto* const watch = std::get_if<fleet::watch_order>(&order.what);
        return watch == nullptr ? base::milliseconds{0} : watch->wait;
    }

    void fail(fleet::order_failure failure) const {
        std::visit([failure](const auto& to) { to(tl::unexpected(failure)); }, done);
    }
};

// The exchanges with one relay.
struct relayed_vms::channel {
    std::string name;
    std::shared_ptr<peer> way;
    // The relay's run and clock as it told them last; no run: it has not been asked.
    std::string run;
    relay_time clock;
    base::time_point clock_heard{};
    std::vector<open_order> waiting;                       // not handed to the relay
    std::unordered_map<std::int64_t, open_order> pending;  // handed over, no outcome yet
    int open_exchanges = 0;
    base::time_point last_exchange{};
    base::time_point avoid_until{};
    std::unique_ptr<net::timer> next;
};

relayed_vms::relayed_vms(net::event_loop& loop, fleet::vm_control& direct, std::string name,
                         const relay_settings& settings, base::metrics& metrics)
    : loop_(loop),
      direct_(direct),
      name_(std::move(name)),
      settings_(settings),
      metrics_(metrics) {}

relayed_vms::~relayed_vms() = default;

void relayed_vms::set_candidates(const std::map<std::string, relay_candidate>& candidates) {
    candidates_ = candidates;
    choose_relays();
}

void relayed_vms::set_vm_count(std::size_t count) {
    if (vm_count_ != count) {
        vm_count_ = count;
        choose_relays();
    }
}

void relayed_vms::drop_waiting() {
    for (const auto& it : channels_) {
        it.second->waiting.clear();
        it.second->pending.clear();
    }
}

void relayed_vms::choose_relays() {
    zones_.clear();
    for (const auto& it : candidates_) {
        auto& one = channels_[it.first];
        if (!one) {
            one = std::make_unique<channel>();
            one->name = it.first;
        }
        one->way = it.second.way;
        zones_[it.second.zone].relays.push_back(one.get());
    }
    const std::size_t wanted = (vm_count_ + settings_.vms_per_relay - 1) /
                               std::max<std::size_t>(1, settings_.vms_per_relay);
    const std::size_t a_zone = zones_.empty() ? 0 : (wanted + zones_.size() - 1) / zones_.size();
    used_relays_ = 0;
    for (auto& it : zones_) {
        auto& relays = it.second.relays;
        std::stable_sort(relays.begin(), relays.end(), [this](const auto* a, const auto* b) {
            return candidates_.at(a->name).strength > candidates_.at(b->name).strength;
        });
        it.second.used = std::min(relays.size(), a_zone);
        used_relays_ += it.second.used;
    }
    drop_idle_channels();
}

// A daemon that stops still tells the outcomes of what it was handed.
void relayed_vms::drop_idle_channels() {
    for (auto it = channels_.begin(); it != channels_.end();) {
        const channel& one = *it->second;
        const bool idle = one.pending.empty() && one.waiting.empty() && one.open_exchanges == 0;
        it = idle && candidates_.count(it->first) == 0 ? channels_.erase(it) : std::next(it);
    }
}

relayed_vms::channel* relayed_vms::channel_to(const fleet::vm_facts& vm) {
    const auto zone = zones_.find(vm.zone);
    if (vm_count_ < settings_.least_vms || zone == zones_.end()) {
        return nullptr;
    }
    const auto now = clock_.now();
    channel* best = nullptr;
    std::uint64_t best_weight = 0;
    const auto& relays = zone->second.relays;
    for (std::size_t i = 0; i < relays.size(); ++i) {
        // The others stand in for those that are avoided.
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

void relayed_vms::start(const fleet::vm_facts& vm, fleet::fence owner,
                        const fleet::start_order& order, fleet::start_done done) {
    send({{{}, vm.id, vm.address, owner, order}, vm.zone, std::move(done), clock_.now()});
}

void relayed_vms::stop(const fleet::vm_facts& vm, fleet::fence owner, const fleet::task_ref& task,
                       fleet::run_number run, fleet::stop_done done) {
    send({{{}, vm.id, vm.address, owner, stop_order{task, run}},
          vm.zone,
          std::move(done),
          clock_.now()});
}

void relayed_vms::watch(const fleet::vm_facts& vm, fleet::fence owner,
                        const fleet::watch_order& order, fleet::watch_done done) {
    send({{{}, vm.id, vm.address, owner, order}, vm.zone, std::move(done), clock_.now()});
}

void relayed_vms::send(open_order order) {
    fleet::vm_facts vm = facts_of(order.order);
    vm.zone = order.zone;
    channel* const through = channel_to(vm);
    if (through == nullptr) {
        send_directly(order);
        return;
    }
    last_number_ = last_number_.next();
    order.order.number = last_number_;
    through->waiting.push_back(std::move(order));
    flush_later(*through);
    if (!sweep_) {
        sweep_ = loop_.every(sweep_period, [this] { give_up_overdue(); });
    }
}

void relayed_vms::send_directly(const open_order& order) {
    const fleet::vm_facts vm = facts_of(order.order);
    const auto& what = order.order.what;
    if (const auto* const start = std::get_if<fleet::start_order>(&what)) {
        direct_.start(vm, order.order.owner, *start, std::get<fleet::start_done>(order.done));
    } else if (const auto* const stop = std::get_if<stop_order>(&what)) {
        direct_.stop(vm, order.order.owner, stop->task, stop->run,
                     std::get<fleet::start_done>(order.done));
    } else {
        direct_.watch(vm, order.order.owner, std::get<fleet::watch_order>(what),
                      std::get<fleet::watch_done>(order.done));
    }
}

base::duration relayed_vms::pause() const {
    return settings_.pause_per_relay * static_cast<std::int64_t>(used_relays_);
}

void relayed_vms::flush_later(channel& to) {
    if (to.next || to.open_exchanges >= most_open_exchanges) {
        return;
    }
    const base::duration rest = to.last_exchange + pause() - clock_.now();
    to.next = loop_.after(std::max<base::duration>(gather_orders, rest), [this, &to] {
        to.next.reset();
        exchange(to);
    });
}

void relayed_vms::exchange(channel& with) {
    const auto now = clock_.now();
    const bool enough = with.open_exchanges >= (with.waiting.empty() ? 1 : most_open_exchanges);
    if (enough || now < with.avoid_until) {
        return;
    }
    order_batch batch;
    batch.sender = name_;
    std::vector<order_number> sent;
    std::vector<open_order> too_old;
    if (!with.run.empty()) {
        batch.relay_run = with.run;
        // The relay's clock shows this much at least.
        const auto since = std::chrono::duration_cast<base::milliseconds>(now - with.clock_heard);
        batch.not_after =
            relay_time(with.clock.value() + since.count() + settings_.order_life.count());
        for (auto& it : std::exchange(with.waiting, {})) {
            if (now - it.made > settings_.order_life) {
                too_old.push_back(std::move(it));  // this process was paused
                continue;
            }
            sent.push_back(it.order.number);
            batch.orders.push_back(it.order);
            with.pending.emplace(it.order.number.value(), std::move(it));
        }
    } else if (with.open_exchanges > 0) {
        return;  // it is being asked for its run
    }
    ++with.open_exchanges;
    with.last_exchange = now;
    metrics_.count("cranberrydock_order_exchanges_total", "");
    with.way->exchange_orders(
        batch, longest_exchange + exchange_slack,
        lifetime_.guard([this, name = with.name, sent](const exchange_result& result) {
            const auto it = channels_.find(name);
            if (it == channels_.end()) {
                return;  // its orders were dealt with when it went
            }
            --it->second->open_exchanges;
            if (result) {
                exchanged(*it->second, sent, *result);
            } else {
                exchange_failed(*it->second, sent, result.error() == peer_life::process_gone);
            }
        }));
    for (const auto& it : too_old) {
        it.fail(fleet::order_failure::not_delivered);
    }
}

void relayed_vms::learn_clock(channel& of, const outcome_batch& what) {
    of.run = what.run;
    of.clock = what.now;
    of.clock_heard = clock_.now();
}

void relayed_vms::exchanged(channel& with, const std::vector<order_number>& sent,
                            const outcome_batch& what) {
    if (clock_.now() < with.avoid_until) {
        return;
    }
    if (what.run != with.run) {
        const bool restarted = !with.run.empty();
        learn_clock(with, what);
        if (restarted) {
            // Orders for the run before have not been looked at.
            send_again(with, sent);
            avoid(with, "restarted");
        }
        flush_later(with);
        return;
    }
    learn_clock(with, what);
    std::vector<order_number> expired;
    for (const auto& it : what.outcomes) {
        if (std::holds_alternative<order_expired>(it.what)) {
            expired.push_back(it.number);
        } else {
            take(with, it);
        }
    }
    if (!expired.empty()) {
        send_again(with, expired);
        avoid(with, "late");
    } else if (!with.waiting.empty() || !with.pending.empty()) {
        flush_later(with);
    }
}

void relayed_vms::take(channel& from, const relayed_outcome& outcome) {
    const auto it = from.pending.find(outcome.number.value());
    if (it == from.pending.end()) {
        return;  // given up, or told twice
    }
    const open_order one = std::move(it->second);
    from.pending.erase(it);
    if (const auto* const failure = std::get_if<fleet::order_failure>(&outcome.what)) {
        one.fail(*failure);
        return;
    }
    const auto* const time = std::get_if<fleet::vm_time>(&outcome.what);
    const auto* const report = std::get_if<fleet::vm_report>(&outcome.what);
    if (time != nullptr && std::holds_alternative<fleet::start_done>(one.done)) {
        std::get<fleet::start_done>(one.done)(*time);
    } else if (report != nullptr && std::holds_alternative<fleet::watch_done>(one.done)) {
        std::get<fleet::watch_done>(one.done)(*report);
    } else {
        spdlog::warn("event=outcome_unreadable relay={} vm={}", from.name, one.order.vm.str());
        one.fail(fleet::order_failure::answer_lost);
    }
}

// Orders that were surely not passed on: another way is taken, in the next turn of the loop.
void relayed_vms::send_again(channel& from, const std::vector<order_number>& numbers) {
    for (const auto& number : numbers) {
        const auto it = from.pending.find(number.value());
        if (it != from.pending.end()) {
            from.waiting.push_back(std::move(it->second));
            from.pending.erase(it);
        }
    }
}

void relayed_vms::exchange_failed(channel& with, const std::vector<order_number>& sent,
                                  bool not_sent) {
    if (not_sent) {
        send_again(with, sent);
    }
    avoid(with, not_sent ? "refused" : "silent");
}

// Leaves the relay out for a while. What it was handed counts as unanswered.
void relayed_vms::avoid(channel& one, const char* reason) {
    const auto now = clock_.now();
    spdlog::warn("event=relay_avoided relay={} reason={} pending={} waiting={} for_ms={}", one.name,
                 reason, one.pending.size(), one.waiting.size(),
                 settings_.avoid_after_failure.count());
    metrics_.count("cranberrydock_relays_avoided_total", std::string("reason=\"") + reason + "\"");
    one.avoid_until = now + settings_.avoid_after_failure;
    one.run.clear();
    one.next.reset();
    const auto pending = std::exchange(one.pending, {});
    const auto waiting = std::exchange(one.waiting, {});
    for (const auto& it : waiting) {
        if (now - it.made > settings_.order_life) {
            it.fail(fleet::order_failure::not_delivered);
        } else {
            send(it);
        }
    }
    for (const auto& it : pending) {
        it.second.fail(fleet::order_failure::answer_lost);
    }
}

void relayed_vms::give_up_overdue() {
    const auto now = clock_.now();
    std::vector<channel*> slow;
    bool any = false;
    for (const auto& it : channels_) {
        channel& one = *it.second;
        any = any || !one.pending.empty() || !one.waiting.empty();
        const bool overdue =
            std::any_of(one.pending.begin(), one.pending.end(), [&](const auto& order) {
                return now - order.second.made >
                       settings_.order_life + order.second.wait() + outcome_slack;
            });
        const bool stuck =
            std::any_of(one.waiting.begin(), one.waiting.end(),
                        [&](const auto& order) { return now - order.made > settings_.order_life; });
        if (overdue || stuck) {
            slow.push_back(&one);
        }
    }
    for (channel* const it : slow) {
        avoid(*it, "slow");
    }
    drop_idle_channels();
    if (!any) {
        sweep_.reset();
    }
}

}  // namespace cranberrydock::steward
