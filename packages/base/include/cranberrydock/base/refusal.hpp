// Refusals: the reasons for which work is rejected or not completed. Every reason has a stable
// name, which is part of the API, and its own counter.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::base {

enum class refusal_reason {
    // Errors in the request.
    malformed_request,
    body_too_large,
    unknown_route,
    unknown_team,
    unknown_queue,
    unknown_job,
    idempotency_key_missing,
    idempotency_key_reused,  // the key was used before with a different body
    // Authentication and authorization.
    key_missing,
    key_unknown,
    key_withdrawn,
    key_not_for_queue,
    not_an_operator,
    // Limits and policy.
    can_never_fit,
    queue_full,
    deadline_unreachable,
    deadline_passed,
    upper_limit_zero,
    retry_budget_spent,
    attempts_exhausted,
    cancelled,
    // State of the system.
    configuration_not_fresh,
    configuration_conflict,
    configuration_invalid,
    store_unavailable,
    cell_without_owner,
    owner_unreachable,
    shutting_down,
    overloaded,
    outcome_unknown,  // the work may or may not have run; it is not run again
    internal,
};

// The stable name, e.g. "queue_full".
std::string_view to_string(refusal_reason reason);

// The reason with this stable name; `internal` if the name is unknown.
refusal_reason parse_refusal_reason(std::string_view name);

// All reasons in declaration order. Used to create a counter for each reason at start-up.
const std::vector<refusal_reason>& all_refusal_reasons();

struct refusal {
    refusal_reason reason = refusal_reason::internal;
    // True only if it is certain that the work has not run and will never run for this request.
    bool not_run = false;
    // How long to wait before a retry; zero if a retry can't succeed.
    milliseconds retry_after{0};
    std::string detail;  // expected value, value found, suggested action
};

}  // namespace cranberrydock::base
