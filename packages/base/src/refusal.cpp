// Conversion between refusal reasons and their stable names.
#include <cranberrydock/base/refusal.hpp>

#include <array>
#include <utility>

namespace cranberrydock::base {
namespace {

using named_reason = std::pair<refusal_reason, std::string_view>;

constexpr std::array names = {
    named_reason{refusal_reason::malformed_request, "malformed_request"},
    named_reason{refusal_reason::body_too_large, "body_too_large"},
    named_reason{refusal_reason::unknown_route, "unknown_route"},
    named_reason{refusal_reason::unknown_team, "unknown_team"},
    named_reason{refusal_reason::unknown_queue, "unknown_queue"},
    named_reason{refusal_reason::unknown_job, "unknown_job"},
    named_reason{refusal_reason::idempotency_key_missing, "idempotency_key_missing"},
    named_reason{refusal_reason::idempotency_key_reused, "idempotency_key_reused"},
    named_reason{refusal_reason::key_missing, "key_missing"},
    named_reason{refusal_reason::key_unknown, "key_unknown"},
    named_reason{refusal_reason::key_withdrawn, "key_withdrawn"},
    named_reason{refusal_reason::key_not_for_queue, "key_not_for_queue"},
    named_reason{refusal_reason::not_an_operator, "not_an_operator"},
    named_reason{refusal_reason::can_never_fit, "can_never_fit"},
    named_reason{refusal_reason::queue_full, "queue_full"},
    named_reason{refusal_reason::deadline_unreachable, "deadline_unreachable"},
    named_reason{refusal_reason::deadline_passed, "deadline_passed"},
    named_reason{refusal_reason::upper_limit_zero, "upper_limit_zero"},
    named_reason{refusal_reason::retry_budget_spent, "retry_budget_spent"},
    named_reason{refusal_reason::attempts_exhausted, "attempts_exhausted"},
    named_reason{refusal_reason::cancelled, "cancelled"},
    named_reason{refusal_reason::configuration_not_fresh, "configuration_not_fresh"},
    named_reason{refusal_reason::configuration_conflict, "configuration_conflict"},
    named_reason{refusal_reason::configuration_invalid, "configuration_invalid"},
    named_reason{refusal_reason::store_unavailable, "store_unavailable"},
    named_reason{refusal_reason::cell_without_owner, "cell_without_owner"},
    named_reason{refusal_reason::owner_unreachable, "owner_unreachable"},
    named_reason{refusal_reason::shutting_down, "shutting_down"},
    named_reason{refusal_reason::overloaded, "overloaded"},
    named_reason{refusal_reason::outcome_unknown, "outcome_unknown"},
    named_reason{refusal_reason::internal, "internal"},
};

}  // namespace

std::string_view to_string(refusal_reason reason) {
    for (const auto& it : names) {
        if (it.first == reason) {
            return it.second;
        }
    }
    return "internal";
}

refusal_reason parse_refusal_reason(std::string_view name) {
    for (const auto& it : names) {
        if (it.second == name) {
            return it.first;
        }
    }
    return refusal_reason::internal;
}

const std::vector<refusal_reason>& all_refusal_reasons() {
    static const std::vector<refusal_reason> all = [] {
        std::vector<refusal_reason> out;
        out.reserve(names.size());
        for (const auto& it : names) {
            out.push_back(it.first);
        }
        return out;
    }();
    return all;
}

}  // namespace cranberrydock::base
