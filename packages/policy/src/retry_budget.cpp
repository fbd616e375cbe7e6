// Retry decisions: what may not run again comes first, then limits, then the budget.
#include <cranberrydock/policy/retry_budget.hpp>

#include <algorithm>
#include <string>

namespace cranberrydock::policy {
namespace {

using base::refusal_reason;

no_retry give_up(const failed_attempt& one, refusal_reason reason, const std::string& why) {
    return {{reason, one.did_not_run, base::milliseconds(0),
             why + "; last attempt: " + std::string(base::to_string(one.why.reason)) +
                 (one.why.detail.empty() ? "" : ", " + one.why.detail)}};
}

}  // namespace

void retry_budget::note_request() {
    tokens_ = std::min(rules_.most_saved, tokens_ + rules_.retries_per_request);
}

retry_decision retry_budget::after(const failed_attempt& one, base::time_point now,
                                   std::mt19937_64& random) {
    if (!one.may_run_again) {
        return give_up(one, one.did_not_run ? one.why.reason : refusal_reason::outcome_unknown,
                       "the request may not be repeated");
    }
    if (one.attempts >= rules_.most_attempts) {
        return give_up(one, refusal_reason::attempts_exhausted,
                       std::to_string(one.attempts) + " attempts were made");
    }
    const base::time_point when = now + backoff(one.attempts, random);
    if (one.deadline && when >= *one.deadline) {
        return give_up(one, refusal_reason::deadline_unreachable,
                       "the deadline comes before the next attempt");
    }
    if (tokens_ < 1) {
        return give_up(one, refusal_reason::retry_budget_spent, "the team's retries are in use");
    }
    tokens_ -= 1;
    return retry_at{when};
}

// Half of the backoff is fixed and half random, so that callers that failed together don't come
// back together, and none comes back at once.
base::duration retry_budget::backoff(int attempts, std::mt19937_64& random) const {
    const int doublings = std::clamp(attempts - 1, 0, 20);
    const base::duration whole =
        std::min(rules_.first_backoff * (1 << doublings), rules_.longest_backoff);
    std::uniform_int_distribution<base::duration::rep> jitter(0, whole.count() / 2);
    return whole / 2 + base::duration(jitter(random));
}

}  // namespace cranberrydock::policy
