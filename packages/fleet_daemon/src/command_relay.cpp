// Passes commands on to VMs for an owner.
#include <cranberrydock/fleet_daemon/command_relay.hpp>

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

// Outcomes that arrive within this time are sent in one batch.
constexpr base::milliseconds outcome_batch_delay{5};
// The state of an owner process is dropped when it has made no exchange for this long.
constexpr base::milliseconds sender_expiry_time{30'000};

template <typename Answer>
relayed_outcome outcome_of(command_number number,
                           const tl::expected<Answer, fleet::command_failure>& answer) {
    if (answer) {
        return {number, *answer};
    }
    return {number, answer.error()};
}

}  // namespace

command_relay::command_relay(net::event_loop& loop, fleet::vm_control& vms, std::string run)
    : loop_(loop), vms_(vms), run_(std::move(run)) {}

relay_time command_relay::now() const {
    return relay_time(
        std::chrono::duration_cast<base::milliseconds>(clock_.now().time_since_epoch()).count());
}

void command_relay::exchange(const command_batch& batch, exchange_callback done) {
    drop_unresponsive_senders();
    if (batch.relay_run != run_) {
        // The owner first needs this relay's run and the reading of its clock.
        done({run_, now(), {}});
        return;
    }
    sender& requester = senders_[batch.sender];
    requester.last_exchange = clock_.now();
    if (requester.open) {
        answer(requester);
    }
    requester.open = std::move(done);
    requester.timeout =
        loop_.after(max_exchange_time, [this, name = batch.sender] { answer(senders_.at(name)); });
    if (!requester.ready.empty() && !requester.flush) {
        requester.flush = loop_.after(outcome_batch_delay,
                                      [this, name = batch.sender] { answer(senders_.at(name)); });
    }
    const bool expired = now() > batch.not_after;
    if (expired && !batch.commands.empty()) {
        spdlog::warn("event=orders_expired from={} orders={} late_ms={}", batch.sender,
                     batch.commands.size(), now().value() - batch.not_after.value());
    }
    for (const auto& it : batch.commands) {
        if (expired) {
            add_outcome(batch.sender, {it.number, command_expired{}});
        } else {
            pass_on(batch.sender, it);
        }
    }
}

void command_relay::pass_on(const std::string& sender_name, const relayed_command& relayed) {
    const auto report_outcome = [this, sender_name, number = relayed.number](const auto& answer) {
        add_outcome(sender_name, outcome_of(number, answer));
    };
    const fleet::vm_info vm = facts_of(relayed);
    if (const auto* const start = std::get_if<fleet::start_command>(&relayed.content)) {
        vms_.start(vm, relayed.owner, *start, lifetime_.guard(report_outcome));
    } else if (const auto* const stop = std::get_if<stop_command>(&relayed.content)) {
        vms_.stop(vm, relayed.owner, stop->task, stop->run, lifetime_.guard(report_outcome));
    } else {
        vms_.watch(vm, relayed.owner, std::get<fleet::watch_command>(relayed.content),
                   lifetime_.guard(report_outcome));
    }
}

void command_relay::add_outcome(const std::string& sender_name, relayed_outcome outcome) {
    const auto it = senders_.find(sender_name);
    if (it == senders_.end()) {
        return;  // the owner's state has been dropped
    }
    it->second.ready.push_back(std::move(outcome));
    if (it->second.open && !it->second.flush) {
        it->second.flush = loop_.after(outcome_batch_delay,
                                       [this, sender_name] { answer(senders_.at(sender_name)); });
    }
}

void command_relay::answer(sender& waiting) {
    waiting.flush.reset();
    waiting.timeout.reset();
    if (waiting.open) {
        const exchange_callback done = std::move(waiting.open);
        waiting.open = nullptr;
        done({run_, now(), std::exchange(waiting.ready, {})});
    }
}

void command_relay::drop_unresponsive_senders() {
    for (auto it = senders_.begin(); it != senders_.end();) {
        const bool unresponsive = clock_.now() - it->second.last_exchange > sender_expiry_time;
        it = unresponsive && !it->second.open ? senders_.erase(it) : std::next(it);
    }
}

}  // namespace cranberrydock::fleet_daemon
