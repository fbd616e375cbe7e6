// Checks in this order: whether the request may run again, the limits on attempts and time, and the
// budget.
#include <cranberrydock/policy/retry_budget.hpp>

#include <algorithm>
#include <string>

namespace cranberrydock::policy {
namespace {

using base::refusal_reason;

no_retry refuse_retry(const failed_attempt& attempt, refusal_reason reason,
                      const std::string& explanation) {
    return {{reason, attempt.did_not_run, base::milliseconds(0),
             explanation +
                 "; last attempt: " + std::string(base::to_string(attempt.refusal.reason)) +
                 (attempt.refusal.detail.empty() ? "" : ", " + attempt.refusal.detail)}};
}

}  // namespace

void retry_budget::record_request() {
    tokens_ = std::min(rules_.max_saved_retries, tokens_ + rules_.retries_per_request);
}

retry_decision retry_budget::decide(const failed_attempt& attempt, base::time_point now,
                                    std::mt19937_64& random) {
    if (!attempt.may_run_again) {
        return refuse_retry(
            attempt, attempt.did_not_run ? attempt.refusal.reason : refusal_reason::outcome_unknown,
            "the request is not repeatable");
    }
    if (attempt.attempts_made >= rules_.max_attempts) {
        return refuse_retry(attempt, refusal_reason::attempts_exhausted,
                            std::to_string(attempt.attempts_made) + " attempts were made");
    }
    const base::time_point when = now + backoff(attempt.attempts_made, random);
    if (attempt.deadline && when >= *attempt.deadline) {
        return refuse_retry(attempt, refusal_reason::deadline_unreachable,
                            "the deadline is before the next attempt");
    }
    if (tokens_ < 1) {
        return refuse_retry(attempt, refusal_reason::retry_budget_spent,
                            "the team's retry budget is used up");
    }
    tokens_ -= 1;
    return retry_at{when};
}

// Half of the backoff is fixed and half is random, so that callers that failed at the same time do
// not retry at the same time, and none retries at once.
base::duration retry_budget::backoff(int attempts, std::mt19937_64& random) const {
    const int doublings = std::clamp(attempts - 1, 0, 20);
    const base::duration full_backoff =
        std::min(rules_.initial_backoff * (1 << doublings), rules_.max_backoff);
    std::uniform_int_distribution<base::duration::rep> jitter(0, full_backoff.count() / 2);
    return full_backoff / 2 + base::duration(jitter(random));
}

}  // namespace cranberrydock::policy
