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

const char* to_string(completion_kind kind) {
    switch (kind) {
        case completion_kind::done:
            return "done";
        case completion_kind::failed:
            return "failed";
        case completion_kind::stopped:
            return "stopped";
        case completion_kind::lease_expired:
            return "lease_lapsed";
        case completion_kind::gang_broken:
            return "gang_broken";
        case completion_kind::gang_incomplete:
            return "gang_incomplete";
    }
    return "unknown";
}

const char* to_string(command_failure failure) {
    switch (failure) {
        case command_failure::not_delivered:
            return "not_delivered";
        case command_failure::connection_refused:
            return "nothing_listens";
        case command_failure::answer_lost:
            return "answer_lost";
        case command_failure::other_incarnation:
            return "other_incarnation";
        case command_failure::stale_fencing_token:
            return "lower_fence";
        case command_failure::superseded:
            return "superseded";
        case command_failure::too_late:
            return "too_late";
        case command_failure::no_room:
            return "no_room";
        case command_failure::ticket_invalid:
            return "ticket_invalid";
        case command_failure::unhealthy:
            return "unhealthy";
        case command_failure::malformed:
            return "malformed";
    }
    return "unknown";
}

}  // namespace cranberrydock::fleet
