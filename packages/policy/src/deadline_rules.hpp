// What the policies that don't look ahead do about a deadline.
#pragma once

#include <cranberrydock/policy/queue_policy.hpp>

#include <optional>

namespace cranberrydock::policy::detail {

// Refuses a task whose deadline has passed when it arrives.
inline std::optional<base::refusal> refuse_if_past(const task_timing& one, base::time_point now) {
    if (!one.deadline || *one.deadline > now) {
        return std::nullopt;
    }
    return base::refusal{base::refusal_reason::deadline_unreachable, true, base::milliseconds(0),
                         "the deadline has passed on arrival"};
}

}  // namespace cranberrydock::policy::detail
