// Refusals: why work was not taken, or not finished. Every reason has a stable name, which callers
// see, and a counter of its own.
#pragma once

#include <cranberrydock/base/units.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::base {

enum class refusal_reason {
    // The request itself.
    malformed_request,
    body_too_large,
    unknown_route,
    unknown_team,
    unknown_queue,
    unknown_job,
    idempotency_key_missing,
    idempotency_key_reused,  // the same key came with another body
    // Who asks.
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
    outcome_unknown,  // may or may not have run; never run again
    internal,
};

// The stable name, e.g. "queue_full".
std::string_view to_string(refusal_reason reason);

// The reason of that name; `internal` when there is none.
refusal_reason refusal_reason_of(std::string_view name);

// Every reason in declaration order, so that each has a counter from the start.
const std::vector<refusal_reason>& all_refusal_reasons();

struct refusal {
    refusal_reason reason = refusal_reason::internal;
    // True only when it is known that the work did not run and never will under this request.
    bool not_run = false;
    // When trying again may help; zero when it won't.
    milliseconds retry_after{0};
    std::string detail;  // what was expected, what was found, what to do
};

}  // namespace cranberrydock::base
