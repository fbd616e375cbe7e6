// The owner's session with one VM.
#include <cranberrydock/fleet_daemon/vm_session.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranberrydock::fleet_daemon {
namespace {

constexpr int failures_until_unreachable = 1;

}  // namespace

vm_session::vm_session(net::event_loop& loop, fleet::vm_control& vms, const fleet::vm_info& facts,
                       fleet::fencing_token owner, const session_settings& settings,
                       const fleet::inherited_leases& inherited, const listening_clock& listening,
                       session_listener& listener)
    : loop_(loop),
      vms_(vms),
      facts_(facts),
      owner_(owner),
      settings_(settings),
      listening_(listening),
      listener_(listener),
      leases_(settings.leases, inherited) {}

void vm_session::start() {
    send_watch();
}

void vm_session::update(const fleet::vm_info& facts) {
    const bool restarted = leases_.has_report() && facts.boot > boot_;
    facts_ = facts;
    listed_ = true;
    if (restarted) {
        on_other_incarnation();
    }
}

void vm_session::on_other_incarnation() {
    leases_.on_other_incarnation(clock_.now());
    last_listed_completion_ = {};
    boot_ = {};
    listener_.on_restarted(facts_.id);
}

void vm_session::on_address_reused() {
    if (!end_reported_) {
        end_reported_ = true;
        listener_.on_process_ended(facts_.id);
        on_other_incarnation();
    }
}

void vm_session::send_watch() {
    const auto watch_sent_at = clock_.now();
    if (!listener_.may_issue_commands()) {
        send_watch_later(settings_.retry_pause);
        return;
    }
    if (!leases_expired(watch_sent_at)) {
        unanswered_since_.reset();
    } else if (!unanswered_since_) {
        unanswered_since_ = listening_.listened(watch_sent_at);
    }
    fleet::watch_command command;
    // The lease of an unresponsive VM is not extended, so that its work can be started elsewhere
    // sooner.
    const bool answering = leases_.has_report() && failures_ == 0;
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
    const bool restarted = leases_.has_report() && report.boot != boot_;
    if (restarted) {
        on_other_incarnation();
    }
    if (failures_ >= failures_until_unreachable) {
        listener_.on_reachable(facts_.id, true);
    }
    failures_ = 0;
    end_reported_ = false;
    expiry_reported_ = false;
    unanswered_since_.reset();
    boot_ = report.boot;
    const auto stop_time_before = leases_.max_stop_time();
    leases_.on_report(report.now, clock_.now(), !report.running.empty());
    if (leases_.max_stop_time() > stop_time_before) {
        spdlog::warn("event=vm_ends_runs_late vm={} late_ms={} bound_ms={}", facts_.id.str(),
                     leases_.max_stop_time().count(), stop_time_before.count());
    }
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
    if (failure == fleet::command_failure::connection_refused) {
        listener_.on_refused_connection(facts_.id);
    }
    check_lease_expiry();
}

bool vm_session::is_silent() const {
    return unanswered_since_ &&
           listening_.listened(clock_.now()) - *unanswered_since_ >= settings_.confirming_silence;
}

void vm_session::check_lease_expiry() {
    // A later owner may have extended the leases since the last renewal.
    if (!leases_expired(listener_.last_renewal_sent()) || !is_silent()) {
        send_watch_later(settings_.retry_pause);
        return;
    }
    if (!listed_) {
        // The listener may destroy this session.
        listener_.on_lost(facts_.id, "left", true);
        return;
    }
    if (!expiry_reported_) {
        expiry_reported_ = true;
        listener_.on_lost(facts_.id, "lease_lapsed", false);
    }
    send_watch_later(settings_.retry_pause);
}

void vm_session::send_watch_later(base::milliseconds pause) {
    next_watch_ = loop_.after(pause, [this] { send_watch(); });
}

}  // namespace cranberrydock::fleet_daemon
