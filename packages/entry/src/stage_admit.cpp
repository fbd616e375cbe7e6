// Checks the work against the limits of its team and applies the queue's defaults.
#include "stage_admit.hpp"

#include <string>

namespace cranberrydock::entry {

tl::expected<void, stage_refusal> admit_stage::run(request_state& request) {
    const config::queue& queue = *request.configuration->find_queue(request.spec.queue);
    const config::team* const team = request.configuration->find_team(request.spec.team);
    if (team == nullptr) {
        return refuse(
            base::refusal_reason::unknown_team,
            "expected a team of the configuration, found \"" + request.spec.team.str() + "\"");
    }
    if (team->upper_limit <= base::slot_count(0)) {
        return refuse(base::refusal_reason::upper_limit_zero,
                      "team " + team->id.str() + " has an upper limit of 0 slots");
    }
    if (request.spec.need.slots > team->upper_limit) {
        return refuse(base::refusal_reason::can_never_fit,
                      "a task needs " + std::to_string(request.spec.need.slots.value()) +
                          " slots, team " + team->id.str() + " has an upper limit of " +
                          std::to_string(team->upper_limit.value()));
    }
    const auto gang_tasks = static_cast<std::int64_t>(request.spec.task_count);
    if (request.spec.gang &&
        gang_tasks * request.spec.need.slots.value() > team->upper_limit.value()) {
        return refuse(
            base::refusal_reason::can_never_fit,
            "all tasks of the gang together need more slots than the upper limit of team " +
                team->id.str() + ", " + std::to_string(team->upper_limit.value()));
    }
    request.spec.service =
        request.spec.service || queue.policy == config::queue_policy_kind::service;
    if (!request.spec.deadline) {
        request.spec.deadline = queue.default_deadline;
    }
    return {};
}

}  // namespace cranberrydock::entry
