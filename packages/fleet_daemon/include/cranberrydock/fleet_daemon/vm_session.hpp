// The owner's session with one VM. It renews the lease of the runs on the VM, receives the VM's
// reports of running and completed runs, and reports when all earlier runs must have ended
// (fleet/run_leases.hpp).
//
// An expired lease proves that a run has ended, not how: it may be done, and only the VM's next
// report says so. The runs are therefore given up only if the VM does not report either once the
// lease has expired and this process is listening. For a silent VM that takes one watch command and
// one retry pause longer than the lease.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/run_leases.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/listening_clock.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberrydock::fleet_daemon {

struct session_settings {
    fleet::lease_settings leases;
    // How long the VM may keep a watch command open while no run completes.
    base::milliseconds wait{700};
    base::milliseconds retry_pause{150};
    // For how long a VM with expired leases must have been silent while this process listened.
    base::milliseconds confirming_silence{200};
    // After a report with completions, the next watch command is sent once they are durable, since
    // the VM would answer it at once with the same completions. This is the polling interval.
    base::milliseconds completion_poll_period{20};
    // The watch command is sent after this time even if the completions are not durable, because
    // the store is slow or unavailable.
    base::milliseconds unsaved_poll_period{250};
};

// Receives the events of a session, and answers the session's queries.
class session_listener {
public:
    virtual ~session_listener() = default;
    // `watch_sent_at` is when the watch command that the report answers was sent.
    virtual void on_report(const fleet::vm_id& vm, const fleet::vm_report& report,
                           base::time_point watch_sent_at) = 0;
    virtual void on_reachable(const fleet::vm_id& vm, bool reachable) = 0;
    virtual void on_refused_connection(const fleet::vm_id& vm) = 0;
    // No earlier run exists on the VM any more. If `gone` is set, the VM will not return. The
    // session may be destroyed within this call.
    virtual void on_lost(const fleet::vm_id& vm, const std::string& reason, bool gone) = 0;
    // The incarnation of the VM that held its runs has ended, and another VM has its address.
    virtual void on_process_ended(const fleet::vm_id& vm) = 0;
    // Another incarnation of the VM has taken its place. No earlier run exists there, except runs
    // whose start command reached the new incarnation; the next report lists these.
    virtual void on_restarted(const fleet::vm_id& vm) = 0;
    // The VM has accepted commands of an owner with a higher fencing token.
    virtual void on_higher_fencing_token(const fleet::vm_id& vm) = 0;
    // The number up to which the VM's completions are durable.
    virtual fleet::completion_number acknowledgeable_completion(const fleet::vm_id& vm) = 0;
    // Whether commands may be issued now.
    virtual bool may_issue_commands() = 0;
    // No later owner had granted a lease by this time.
    virtual base::time_point last_renewal_sent() = 0;
};

class vm_session {
public:
    vm_session(net::event_loop& loop, fleet::vm_control& vms, const fleet::vm_info& facts,
               fleet::fencing_token owner, const session_settings& settings,
               const fleet::inherited_leases& inherited, const listening_clock& listening,
               session_listener& listener);

    const fleet::vm_info& facts() const { return facts_; }
    base::time_point created_at() const { return created_at_; }
    void start();
    void update(const fleet::vm_info& facts);
    // The member list no longer contains the VM. The session ends once no earlier run can exist.
    void mark_unlisted() { listed_ = false; }
    bool listed() const { return listed_; }
    // Whether the current incarnation has sent a report.
    bool has_report() const { return leases_.has_report(); }

    // The end of the lease for a command that is issued now; 0 if no report has been received yet.
    fleet::vm_time lease_from_now() { return leases_.grant(clock_.now()); }
    // Another incarnation of the VM has taken its place.
    void on_other_incarnation();
    // A command for this VM was answered by another VM at its address, so this VM has ended.
    void on_address_reused();
    // Whether no run that began before can have existed on the VM at that time.
    bool leases_expired(base::time_point at) const { return leases_.all_expired(at); }
    fleet::lease_expiry expiry(base::time_point now) const { return leases_.expiry(now); }

private:
    void send_watch();
    void on_answer(base::time_point watch_sent_at, const fleet::vm_report& report);
    void on_failure(fleet::command_failure failure);
    void check_lease_expiry();
    // Whether a watch command that was sent after the leases had expired has not been answered,
    // although this process listened.
    bool is_silent() const;
    // Sends the next watch command once the listed completions are durable, or at `latest`.
    void send_watch_when_saved(base::time_point latest);
    void send_watch_later(base::milliseconds pause);

    net::event_loop& loop_;
    fleet::vm_control& vms_;
    fleet::vm_info facts_;
    fleet::fencing_token owner_;
    session_settings settings_;
    const listening_clock& listening_;
    session_listener& listener_;
    base::suspend_aware_clock clock_;
    base::time_point created_at_ = clock_.now();
    fleet::vm_leases leases_;
    fleet::boot_time boot_;                            // from the last report
    fleet::completion_number last_listed_completion_;  // in the last report
    int failures_ = 0;                                 // consecutive
    bool listed_ = true;
    // Since the last report. Before the first one there are no runs whose leases could expire.
    bool end_reported_ = false;
    bool expiry_reported_ = true;
    // The time listened when the first watch command since the leases' expiry was sent. Empty if
    // they have not expired or the VM has answered since.
    std::optional<base::duration> unanswered_since_;
    std::unique_ptr<net::timer> next_watch_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
