// How a run's end was proved, and how close the next start of its task came to it.
#include <cranberrydock/fleet/ended_run.hpp>

namespace cranberrydock::fleet {

const char* to_string(end_proof proof) {
    switch (proof) {
        case end_proof::completion:
            return "completion";
        case end_proof::not_listed:
            return "not_listed";
        case end_proof::other_incarnation:
            return "other_incarnation";
        case end_proof::lease_expired:
            return "lease_expired";
        case end_proof::start_refused:
            return "start_refused";
        case end_proof::not_delivered:
            return "not_delivered";
    }
    return "";
}

std::optional<milliseconds> restart_margin(const ended_run& earlier, vm_time report,
                                           base::time_point now) {
    if (earlier.proof != end_proof::lease_expired || earlier.expiry.lease_until.value() == 0 ||
        !earlier.restarted_at) {
        return std::nullopt;
    }
    // The VM's clock at the restart lies between its last reading and the report.
    const lease_expiry& expiry = earlier.expiry;
    const base::time_point read_at = earlier.proved_at - expiry.reading_age;
    const auto since_reading = std::chrono::duration<double, std::milli>(now - read_at);
    const auto to_restart =
        std::chrono::duration<double, std::milli>(*earlier.restarted_at - read_at);
    const auto on_vm_clock = static_cast<double>(report.value() - expiry.vm_clock.value());
    const double share = since_reading.count() > 0 ? to_restart / since_reading : 0;
    const auto vm_clock_at_restart =
        expiry.vm_clock.value() + static_cast<std::int64_t>(on_vm_clock * share);
    return milliseconds(vm_clock_at_restart - expiry.lease_until.value()) - expiry.max_stop_time;
}

}  // namespace cranberrydock::fleet
