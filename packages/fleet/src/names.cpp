// Names of job states, tasks, completions and command failures in logs and metrics.
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet/work.hpp>

namespace cranberrydock::fleet {

const char* to_string(job_state state) {
    switch (state) {
        case job_state::queued:
            return "queued";
        case job_state::active:
            return "active";
        case job_state::complete:
            return "complete";
        case job_state::failed:
            return "failed";
        case job_state::cancelled:
            return "cancelled";
    }
    return "unknown";
}

std::string to_string(const task_ref& task) {
    return task.job.str() + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

const char* to_string(end_kind kind) {
    switch (kind) {
        case end_kind::done:
            return "done";
        case end_kind::failed:
            return "failed";
        case end_kind::stopped:
            return "stopped";
        case end_kind::lease_lapsed:
            return "lease_lapsed";
        case end_kind::gang_broken:
            return "gang_broken";
        case end_kind::gang_incomplete:
            return "gang_incomplete";
    }
    return "unknown";
}

const char* to_string(order_failure failure) {
    switch (failure) {
        case order_failure::not_delivered:
            return "not_delivered";
        case order_failure::nothing_listens:
            return "nothing_listens";
        case order_failure::answer_lost:
            return "answer_lost";
        case order_failure::other_incarnation:
            return "other_incarnation";
        case order_failure::lower_fence:
            return "lower_fence";
        case order_failure::superseded:
            return "superseded";
        case order_failure::too_late:
            return "too_late";
        case order_failure::no_room:
            return "no_room";
        case order_failure::ticket_invalid:
            return "ticket_invalid";
        case order_failure::unhealthy:
            return "unhealthy";
        case order_failure::malformed:
            return "malformed";
    }
    return "unknown";
}

}  // namespace cranberrydock::fleet
