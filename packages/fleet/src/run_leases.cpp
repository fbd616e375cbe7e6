// Computes when leases have expired on the slowest clock that a VM may have.
#include <cranberrydock/fleet/run_leases.hpp>

#include <algorithm>

namespace cranberrydock::fleet {
namespace {

// The lowest rate of a VM's clock relative to this process's clock. Each clock may deviate by 2 %.
constexpr double min_clock_rate = 0.96;
constexpr milliseconds expiry_margin{200};

// The time on the local clock after which `vm_duration` has passed on the VM's clock even if that
// runs at the lowest rate.
milliseconds worst_case_local_time(milliseconds vm_duration) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(vm_duration.count()) /
                                                  min_clock_rate)) +
           expiry_margin;
}

}  // namespace

inherited_leases::inherited_leases(const lease_settings& settings, base::time_point owner_since,
                                   milliseconds command_validity)
    : lease_and_stop_(settings.lease + settings.max_stop_time),
      longest_run_(worst_case_local_time(settings.lease + settings.max_stop_time)),
      commands_end_(owner_since + command_validity),
      expiry_(commands_end_ + longest_run_) {}

void inherited_leases::on_previous_owner_ended(base::time_point known_at) {
    commands_end_ = std::min(commands_end_, known_at);
    expiry_ = commands_end_ + longest_run_;
}

bool inherited_leases::all_expired(base::time_point now, base::time_point reported_at) const {
    return now >= std::min(expiry_, reported_at + longest_run_);
}

void vm_leases::on_report(vm_time vm_clock, base::time_point now, bool has_runs) {
    if (has_runs && lease_until_.value() > 0) {
        const milliseconds late(vm_clock.value() - lease_until_.value());
        // A VM that was suspended may be late by any time; that says nothing of the next time.
        settings_.max_stop_time =
            std::max(settings_.max_stop_time, std::min(late, settings_.max_lease));
    }
    last_reading_ = clock_pair{vm_clock, now};
    if (!first_reported_) {
        first_reported_ = now;
    }
}

vm_time vm_leases::grant(base::time_point now) {
    if (!last_reading_) {
        return {};
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - last_reading_->local);
    const vm_time out(last_reading_->vm.value() + elapsed.count() + settings_.lease.count());
    lease_until_ = std::max(lease_until_, out);
    return out;
}

void vm_leases::on_other_incarnation(base::time_point now) {
    if (last_reading_) {
        // Commands issued from now on grant no lease until the new incarnation has reported.
        expiry_not_before_ =
            now + worst_case_local_time(settings_.max_lease + settings_.max_stop_time);
    }
    last_reading_.reset();
    first_reported_.reset();  // the new incarnation does not know this owner's fencing token
    lease_until_ = {};
}

bool vm_leases::all_expired(base::time_point now) const {
    const bool inherited_expired = first_reported_ ? inherited_.all_expired(now, *first_reported_)
                                                   : inherited_.all_expired(now);
    if (!inherited_expired || now < expiry_not_before_) {
        return false;
    }
    if (!last_reading_ || lease_until_.value() == 0) {
        return true;
    }
    const milliseconds left(lease_until_.value() - last_reading_->vm.value());
    return now > last_reading_->local + worst_case_local_time(left + settings_.max_stop_time);
}

lease_expiry vm_leases::expiry(base::time_point now) const {
    lease_expiry out;
    out.lease_until = lease_until_;
    out.max_stop_time = settings_.max_stop_time;
    if (last_reading_) {
        out.vm_clock = last_reading_->vm;
        out.reading_age = std::chrono::duration_cast<milliseconds>(now - last_reading_->local);
        if (lease_until_.value() > 0) {
            out.expired_for =
                milliseconds(out.vm_clock.value() - lease_until_.value()) + out.reading_age;
        }
    }
    return out;
}

}  // namespace cranberrydock::fleet
