// Retries are limited to a fraction of the new requests. No retry starts without a backoff, past
// its deadline or beyond the attempt limit. Work that may have run and may not be repeated ends as
// outcome_unknown, never as "not run".
#include <cranberrydock/policy/retry_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using base::refusal_reason;

namespace {

policy::failed_attempt any_failure() {
    policy::failed_attempt failure;
    failure.attempts_made = *rc::gen::inRange(1, 8);
    failure.may_run_again = *rc::gen::arbitrary<bool>();
    failure.did_not_run = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        failure.deadline = base::time_point(base::milliseconds(*rc::gen::inRange(0, 10'000)));
    }
    return failure;
}

TEST(retry_budget, bounds_retries_and_refuses_unrepeatable_work) {
    EXPECT_TRUE(rc::check("any failures", [] {
        policy::retry_settings rules;
        rules.max_saved_retries = 5;
        policy::retry_budget budget(rules);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const base::time_point now{};
        double requests = 0;
        double retries = 0;
        const int events = *rc::gen::inRange(0, 300);
        for (int i = 0; i < events; ++i) {
            if (*rc::gen::inRange(0, 3) == 0) {
                budget.record_request();
                ++requests;
                continue;
            }
            const policy::failed_attempt failure = any_failure();
            const policy::retry_decision decision = budget.decide(failure, now, random);
            if (const auto* denied = std::get_if<policy::no_retry>(&decision)) {
                RC_ASSERT(denied->refusal.not_run == failure.did_not_run);
                RC_ASSERT(failure.may_run_again || failure.did_not_run ||
                          denied->refusal.reason == refusal_reason::outcome_unknown);
                continue;
            }
            const base::time_point when = std::get<policy::retry_at>(decision).when;
            ++retries;
            RC_ASSERT(failure.may_run_again);
            RC_ASSERT(failure.attempts_made < rules.max_attempts);
            RC_ASSERT(when >= now + rules.initial_backoff / 2);
            RC_ASSERT(when <= now + rules.max_backoff);
            RC_ASSERT(!failure.deadline || when < *failure.deadline);
        }
        RC_ASSERT(retries <= rules.max_saved_retries + requests * rules.retries_per_request);
    }));
}

}  // namespace
