// The owner's conversation with one VM.
#include <cranberrydock/steward/vm_session.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::steward {
namespace {

// VMs' clocks may run this much slower than ours; twice the stated 2 % leaves room for ours.
constexpr double slowest_clock = 0.96;
constexpr base::milliseconds lapse_margin{150};
constexpr int failures_until_unreachable = 1;
// One refusal may be a listener that is just being set up.
constexpr int refusals_until_ended = 2;

// By now so much time has passed on the VM's clock, however slow.
base::milliseconds stretched(base::milliseconds on_vm) {
    return base::milliseconds(
               static_cast<std::int64_t>(static_cast<double>(on_vm.count()) / slowest_clock)) +
           lapse_margin;
}

}  // namespace

vm_session::vm_session(net::event_loop& loop, fleet::vm_control& vms, const fleet::vm_facts& facts,
                       fleet::fence owner, const session_settings& settings,
                       session_listener& listener)
    : loop_(loop),
      vms_(vms),
      facts_(facts),
      owner_(owner),
      settings_(settings),
      listener_(listener) {}

void vm_session::start() {
    ask();
}

void vm_session::update(const fleet::vm_facts& facts) {
    const bool reborn = heard_ && facts.boot > boot_;
    facts_ = facts;
    listed_ = true;
    if (reborn) {
        other_incarnation();
    }
}

void vm_session::unlisted() {
    listed_ = false;
    if (!heard_) {
        next_ = loop_.after(base::duration{0},
                            [this] { listener_.on_lost(facts_.id, "never_heard", true); });
    }
}

void vm_session::other_incarnation() {
    if (heard_) {
        // Later orders give it no lease before it is heard.
        lapses_not_before_ = clock_.now() + stretched(settings_.longest_lease);
    }
    heard_.reset();
    lease_until_ = {};
    last_listed_ = {};
    boot_ = {};
    listener_.on_reborn(facts_.id);
}

void vm_session::address_taken() {
    if (heard_) {
        listener_.on_ended(facts_.id);
    }
    other_incarnation();
}

fleet::vm_time vm_session::lease_from_now() {
    if (!heard_) {
        return {};
    }
    const auto since = std::chrono::duration_cast<base::milliseconds>(clock_.now() - heard_->local);
    const fleet::vm_time out(heard_->vm.value() + since.count() + settings_.lease.count());
    lease_until_ = std::max(lease_until_, out);
    return out;
}

// Whether every lease that was given must have run out by now, on the VM's own clock.
bool vm_session::lapsed(base::time_point now) const {
    if (now < lapses_not_before_) {
        return false;
    }
    if (!heard_ || lease_until_.value() == 0) {
        return true;
    }
    const base::milliseconds left(lease_until_.value() - heard_->vm.value());
    return now > heard_->local + stretched(left);
}

void vm_session::ask() {
    const auto asked = clock_.now();
    if (!listener_.may_order()) {
        again(settings_.retry_pause);
        return;
    }
    fleet::watch_order order;
    // A VM that does not answer gets no longer leases: its work can be started elsewhere sooner.
    const bool answering = heard_ && failures_ == 0;
    if (answering) {
        order.lease_until = lease_from_now();
        order.wait = settings_.wait;
        // The numbers are those of the incarnation that was heard; the next one has its own.
        order.acknowledged = listener_.acknowledgeable(facts_.id);
    }
    vms_.watch(facts_, owner_, order, lifetime_.guard([this, asked](const auto& answer) {
        if (answer) {
            answered(asked, *answer);
        } else {
            failed(answer.error());
        }
    }));
}

void vm_session::answered(base::time_point asked, const fleet::vm_report& report) {
    const bool reborn = heard_ && report.boot != boot_;
    if (reborn) {
        other_incarnation();
    }
    if (failures_ >= failures_until_unreachable) {
        listener_.on_reachable(facts_.id, true);
    }
    if (refusals_ >= refusals_until_ended && heard_) {
        spdlog::warn("event=vm_back_in_the_same_life vm={} refusals={}", facts_.id.str(),
                     refusals_);
    }
    failures_ = 0;
    refusals_ = 0;
    lapse_reported_ = false;
    boot_ = report.boot;
    heard_ = clock_reading{report.now, clock_.now()};
    if (!report.ends.empty()) {
        last_listed_ = report.ends.back().number;
    }
    listener_.on_report(facts_.id, report, asked);
    if (report.ends.empty()) {
        ask();
    } else {
        ask_when_saved(clock_.now() + settings_.unsaved_pause);
    }
}

// Until the ends are durable the VM would list the same ones at once.
void vm_session::ask_when_saved(base::time_point latest) {
    next_ = loop_.after(settings_.ends_pause, [this, latest] {
        const bool saved = listener_.acknowledgeable(facts_.id) >= last_listed_;
        if (saved || clock_.now() >= latest) {
            ask();
        } else {
            ask_when_saved(latest);
        }
    });
}

void vm_session::failed(fleet::order_failure failure) {
    if (failure == fleet::order_failure::lower_fence) {
        listener_.on_higher_fence(facts_.id);
        return;
    }
    if (failure == fleet::order_failure::other_incarnation) {
        address_taken();
    }
    if (++failures_ == failures_until_unreachable) {
        spdlog::info("event=vm_unreachable vm={} reason={}", facts_.id.str(),
                     fleet::to_string(failure));
        listener_.on_reachable(facts_.id, false);
    }
    refusals_ = failure == fleet::order_failure::nothing_listens ? refusals_ + 1 : 0;
    if (refusals_ == refusals_until_ended) {
        listener_.on_ended(facts_.id);
    }
    check_lapse();
}

void vm_session::check_lapse() {
    if (!lapsed(clock_.now())) {
        again(settings_.retry_pause);
        return;
    }
    if (!listed_) {
        // May destroy this session.
        listener_.on_lost(facts_.id, "left", true);
        return;
    }
    if (!lapse_reported_ && heard_) {
        lapse_reported_ = true;
        listener_.on_lost(facts_.id, "lease_lapsed", false);
    }
    again(settings_.retry_pause);
}

void vm_session::again(base::milliseconds pause) {
    next_ = loop_.after(pause, [this] { ask(); });
}

}  // namespace cranberrydock::steward
