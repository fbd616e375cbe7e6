// The owner's session with one VM.
#include <cranberrydock/fleet_daemon/vm_session.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet_daemon {
namespace {

// The lowest rate of a VM's clock relative to this process's clock. Each clock may deviate by 2 %.
constexpr double min_clock_rate = 0.96;
constexpr base::milliseconds expiry_margin{150};
constexpr int failures_until_unreachable = 1;
// A single refused connection may be due to a listener that is still being set up.
constexpr int refusals_until_ended = 2;

// The time on the local clock after which `vm_duration` has passed on the VM's clock even if that
// runs at the lowest rate.
base::milliseconds worst_case_local_time(base::milliseconds vm_duration) {
    return base::milliseconds(static_cast<std::int64_t>(static_cast<double>(vm_duration.count()) /
                                                        min_clock_rate)) +
           expiry_margin;
}

}  // namespace

vm_session::vm_session(net::event_loop& loop, fleet::vm_control& vms, const fleet::vm_info& facts,
                       fleet::fencing_token owner, const session_settings& settings,
                       session_listener& listener)
    : loop_(loop),
      vms_(vms),
      facts_(facts),
      owner_(owner),
      settings_(settings),
      listener_(listener) {}

void vm_session::start() {
    send_watch();
}

void vm_session::update(const fleet::vm_info& facts) {
    const bool restarted = last_reading_ && facts.boot > boot_;
    facts_ = facts;
    listed_ = true;
    if (restarted) {
        on_other_incarnation();
    }
}

void vm_session::mark_unlisted() {
    listed_ = false;
    if (!last_reading_) {
        next_watch_ = loop_.after(base::duration{0},
                                  [this] { listener_.on_lost(facts_.id, "never_heard", true); });
    }
}

void vm_session::on_other_incarnation() {
    if (last_reading_) {
        // Commands issued from now on grant no lease until the new incarnation has reported.
        lease_expiry_not_before_ = clock_.now() + worst_case_local_time(settings_.max_lease);
    }
    last_reading_.reset();
    lease_until_ = {};
    last_listed_completion_ = {};
    boot_ = {};
    listener_.on_restarted(facts_.id);
}

void vm_session::on_address_reused() {
    if (last_reading_) {
        listener_.on_process_ended(facts_.id);
    }
    on_other_incarnation();
}

fleet::vm_time vm_session::lease_from_now() {
    if (!last_reading_) {
        return {};
    }
    const auto elapsed =
        std::chrono::duration_cast<base::milliseconds>(clock_.now() - last_reading_->local);
    const fleet::vm_time out(last_reading_->vm.value() + elapsed.count() + settings_.lease.count());
    lease_until_ = std::max(lease_until_, out);
    return out;
}

bool vm_session::leases_expired(base::time_point now) const {
    if (now < lease_expiry_not_before_) {
        return false;
    }
    if (!last_reading_ || lease_until_.value() == 0) {
        return true;
    }
    const base::milliseconds left(lease_until_.value() - last_reading_->vm.value());
    return now > last_reading_->local + worst_case_local_time(left);
}

void vm_session::send_watch() {
    const auto watch_sent_at = clock_.now();
    if (!listener_.may_issue_commands()) {
        send_watch_later(settings_.retry_pause);
        return;
    }
    fleet::watch_command command;
    // The lease of an unresponsive VM is not extended, so that its work can be started elsewhere
    // sooner.
    const bool answering = last_reading_ && failures_ == 0;
    if (answering) {
        command.lease_until = lease_from_now();
        command.wait = settings_.wait;
        // The numbers belong to the incarnation that has reported; another incarnation starts its
        // own sequence.
        command.acknowledged = listener_.acknowledgeable_completion(facts_.id);
    }
    vms_.watch(facts_, owner_, command, lifetime_.guard([this, watch_sent_at](const auto& answer) {
        if (answer) {
            on_answer(watch_sent_at, *answer);
        } else {
            on_failure(answer.error());
        }
    }));
}

void vm_session::on_answer(base::time_point watch_sent_at, const fleet::vm_report& report) {
    const bool restarted = last_reading_ && report.boot != boot_;
    if (restarted) {
        on_other_incarnation();
    }
    if (failures_ >= failures_until_unreachable) {
        listener_.on_reachable(facts_.id, true);
    }
    if (refusals_ >= refusals_until_ended && last_reading_) {
        spdlog::warn("event=vm_back_in_the_same_life vm={} refusals={}", facts_.id.str(),
                     refusals_);
    }
    failures_ = 0;
    refusals_ = 0;
    expiry_reported_ = false;
    boot_ = report.boot;
    last_reading_ = vm_clock_reading{report.now, clock_.now()};
    if (!report.completions.empty()) {
        last_listed_completion_ = report.completions.back().number;
    }
    listener_.on_report(facts_.id, report, watch_sent_at);
    if (report.completions.empty()) {
        send_watch();
    } else {
        send_watch_when_saved(clock_.now() + settings_.unsaved_poll_period);
    }
}

void vm_session::send_watch_when_saved(base::time_point latest) {
    next_watch_ = loop_.after(settings_.completion_poll_period, [this, latest] {
        const bool saved =
            listener_.acknowledgeable_completion(facts_.id) >= last_listed_completion_;
        if (saved || clock_.now() >= latest) {
            send_watch();
        } else {
            send_watch_when_saved(latest);
        }
    });
}

void vm_session::on_failure(fleet::command_failure failure) {
    if (failure == fleet::command_failure::stale_fencing_token) {
        listener_.on_higher_fencing_token(facts_.id);
        return;
    }
    if (failure == fleet::command_failure::other_incarnation) {
        on_address_reused();
    }
    if (++failures_ == failures_until_unreachable) {
        spdlog::info("event=vm_unreachable vm={} reason={}", facts_.id.str(),
                     fleet::to_string(failure));
        listener_.on_reachable(facts_.id, false);
    }
    refusals_ = failure == fleet::command_failure::connection_refused ? refusals_ + 1 : 0;
    if (refusals_ == refusals_until_ended) {
        listener_.on_process_ended(facts_.id);
    }
    check_lease_expiry();
}

void vm_session::check_lease_expiry() {
    if (!leases_expired(clock_.now())) {
        send_watch_later(settings_.retry_pause);
        return;
    }
    if (!listed_) {
        // The listener may destroy this session.
        listener_.on_lost(facts_.id, "left", true);
        return;
    }
    if (!expiry_reported_ && last_reading_) {
        expiry_reported_ = true;
        listener_.on_lost(facts_.id, "lease_lapsed", false);
    }
    send_watch_later(settings_.retry_pause);
}

void vm_session::send_watch_later(base::milliseconds pause) {
    next_watch_ = loop_.after(pause, [this] { send_watch(); });
}

}  // namespace cranberrydock::fleet_daemon
