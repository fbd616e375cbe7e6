// Decides when the runs on a VM must have ended, so that their tasks may be started elsewhere.
//
// Whatever casts doubt on a VM, only three things prove that a run has ended:
// - The VM reports its completion, or a report that was requested later does not list the run.
// - The incarnation of the VM that held the run has ended: the VM's entry or its report has a later
//   boot time, or another VM answers at its address.
// - Every lease that an owner can have granted has expired on the VM's own clock, and the VM has
//   had the time that it may take to end its runs. A later owner may have granted some, so an owner
//   concludes this only for the time of its last confirmed renewal.
//
// Refused and reset connections, missing answers, a missing member entry and a change of owner
// prove nothing: the VM may continue its runs, and others may reach it.
//
// The scheduler applies the first two proofs as they are reported. The classes here decide on the
// third. They do no I/O and have no clock.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <optional>

namespace cranberrydock::fleet {

struct lease_settings {
    milliseconds lease{4'500};      // granted with each renewal
    milliseconds max_lease{6'000};  // the longest lease that a VM accepts
    // The longest time that a VM takes to end its runs once their lease has expired.
    milliseconds max_stop_time{0};
};

// The inputs of the conclusion that the leases on a VM have expired.
struct lease_expiry {
    vm_time lease_until;            // the latest lease end that this owner granted; 0: none
    vm_time vm_clock;               // the last reading of the VM's clock; 0: none
    milliseconds reading_age{0};    // of `vm_clock`
    milliseconds max_stop_time{0};  // that the VM was left after its lease
    // For how long `lease_until` has passed if the VM's clock runs at the rate of this process's
    // clock. Empty if this owner granted no lease.
    std::optional<milliseconds> expired_for;
};

// The leases that previous owners may have granted on any VM, listed or not.
class inherited_leases {
public:
    // A previous owner issues commands for at most `command_validity` after `owner_since`.
    inherited_leases(const lease_settings& settings, base::time_point owner_since,
                     milliseconds command_validity);

    // The process of the previous owner had ended by `known_at`, so it issues no more commands.
    void on_previous_owner_ended(base::time_point known_at);
    // Whether no previous owner issues commands any more.
    bool commands_ended(base::time_point now) const { return now >= commands_end_; }
    // Whether every lease of a previous owner has expired, and the runs have ended.
    bool all_expired(base::time_point now) const { return now >= expiry_; }
    // The latest end of the runs of a previous owner on a clock that runs at the rate of this
    // process's clock.
    base::time_point latest_run_end() const { return commands_end_ + lease_and_stop_; }
    // The same for a VM that has received this owner's fencing token by `reported_at`: since then
    // it has rejected the commands of previous owners.
    bool all_expired(base::time_point now, base::time_point reported_at) const;

private:
    milliseconds lease_and_stop_;
    // From a lease's grant to the end of its runs, on this process's clock.
    milliseconds longest_run_;
    base::time_point commands_end_;
    base::time_point expiry_;
};

// The leases on the runs of one VM.
class vm_leases {
public:
    // `inherited` must outlive this object.
    vm_leases(const lease_settings& settings, const inherited_leases& inherited)
        : settings_(settings), inherited_(inherited) {}

    // The VM's clock read `vm_clock` in a report that was received at `now`. `has_runs`: the report
    // lists runs, so if every lease had expired, the VM takes at least that long to end them.
    void on_report(vm_time vm_clock, base::time_point now, bool has_runs);
    // The longest time that the VM may take to end its runs: the site's bound, or longer if a
    // report has shown so.
    milliseconds max_stop_time() const { return settings_.max_stop_time; }
    // Whether the current incarnation has sent a report.
    bool has_report() const { return last_reading_.has_value(); }
    // The end of the lease for a command that is issued now; 0 without a report of the current
    // incarnation.
    vm_time grant(base::time_point now);
    // Another incarnation of the VM has taken its place. Commands for the earlier incarnation may
    // reach it and grant it a lease.
    void on_other_incarnation(base::time_point now);
    // Whether every lease that was granted has expired and the VM has had the time to end its runs,
    // so that no earlier run exists on it.
    bool all_expired(base::time_point now) const;
    // What all_expired() is concluded from.
    lease_expiry expiry(base::time_point now) const;

private:
    struct clock_pair {
        vm_time vm;
        base::time_point local;
    };

    lease_settings settings_;
    const inherited_leases& inherited_;
    // From the last and the first report of this incarnation.
    std::optional<clock_pair> last_reading_;
    std::optional<base::time_point> first_reported_;
    vm_time lease_until_;  // the latest lease end that was granted
    // Commands for an earlier incarnation may have granted this one a lease until this time.
    base::time_point expiry_not_before_{};
};

}  // namespace cranberrydock::fleet
