// Carries out orders to VMs for an owner.
#include <cranberrydock/steward/order_relay.hpp>

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::steward {
namespace {

// Outcomes within so long are told together.
constexpr base::milliseconds gather_outcomes{5};
// An owner that has not been heard of for so long is forgotten.
constexpr base::milliseconds silence_until_forgotten{30'000};

template <typename Answer>
relayed_outcome outcome_of(order_number number,
                           const tl::expected<Answer, fleet::order_failure>& answer) {
    if (answer) {
        return {number, *answer};
    }
    return {number, answer.error()};
}

}  // namespace

order_relay::order_relay(net::event_loop& loop, fleet::vm_control& vms, std::string run)
    : loop_(loop), vms_(vms), run_(std::move(run)) {}

relay_time order_relay::now() const {
    return relay_time(
        std::chrono::duration_cast<base::milliseconds>(clock_.now().time_since_epoch()).count());
}

void order_relay::exchange(const order_batch& batch, exchange_done done) {
    forget_silent();
    if (batch.relay_run != run_) {
        // The owner has to learn first what run and what clock it speaks to.
        done({run_, now(), {}});
        return;
    }
    sender& from = senders_[batch.sender];
    from.last_heard = clock_.now();
    if (from.open) {
        answer(from);
    }
    from.open = std::move(done);
    from.timeout =
        loop_.after(longest_exchange, [this, name = batch.sender] { answer(senders_.at(name)); });
    if (!from.ready.empty() && !from.flush) {
        from.flush = loop_.after(gather_outcomes,
                                 [this, name = batch.sender] { answer(senders_.at(name)); });
    }
    const bool expired = now() > batch.not_after;
    if (expired && !batch.orders.empty()) {
        spdlog::warn("event=orders_expired from={} orders={} late_ms={}", batch.sender,
                     batch.orders.size(), now().value() - batch.not_after.value());
    }
    for (const auto& it : batch.orders) {
        if (expired) {
            add(batch.sender, {it.number, order_expired{}});
        } else {
            carry_out(batch.sender, it);
        }
    }
}

void order_relay::carry_out(const std::string& from, const relayed_order& order) {
    const auto tell = [this, from, number = order.number](const auto& answer) {
        add(from, outcome_of(number, answer));
    };
    const fleet::vm_facts vm = facts_of(order);
    if (const auto* const start = std::get_if<fleet::start_order>(&order.what)) {
        vms_.start(vm, order.owner, *start, lifetime_.guard(tell));
    } else if (const auto* const stop = std::get_if<stop_order>(&order.what)) {
        vms_.stop(vm, order.owner, stop->task, stop->run, lifetime_.guard(tell));
    } else {
        vms_.watch(vm, order.owner, std::get<fleet::watch_order>(order.what),
                   lifetime_.guard(tell));
    }
}

void order_relay::add(const std::string& from, relayed_outcome outcome) {
    const auto it = senders_.find(from);
    if (it == senders_.end()) {
        return;  // the owner has been silent for long
    }
    it->second.ready.push_back(std::move(outcome));
    if (it->second.open && !it->second.flush) {
        it->second.flush =
            loop_.after(gather_outcomes, [this, from] { answer(senders_.at(from)); });
    }
}

void order_relay::answer(sender& to) {
    to.flush.reset();
    to.timeout.reset();
    if (to.open) {
        const exchange_done done = std::move(to.open);
        to.open = nullptr;
        done({run_, now(), std::exchange(to.ready, {})});
    }
}

void order_relay::forget_silent() {
    for (auto it = senders_.begin(); it != senders_.end();) {
        const bool silent = clock_.now() - it->second.last_heard > silence_until_forgotten;
        it = silent && !it->second.open ? senders_.erase(it) : std::next(it);
    }
}

}  // namespace cranberrydock::steward
