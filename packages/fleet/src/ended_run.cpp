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
    const auto age = std::chrono::duration_cast<milliseconds>(now - *earlier.restarted_at);
    return milliseconds(report.value() - earlier.expiry.lease_until.value()) - age;
}

}  // namespace cranberrydock::fleet
