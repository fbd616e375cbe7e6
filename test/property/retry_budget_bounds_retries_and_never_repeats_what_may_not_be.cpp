// Retries stay a part of the fresh requests, no attempt comes at once or past its deadline or
// limit, and what may have run and may not be repeated ends as outcome_unknown, never as "not run".
#include <cranberrydock/policy/retry_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using base::refusal_reason;

namespace {

policy::failed_attempt any_failure() {
    policy::failed_attempt one;
    one.attempts = *rc::gen::inRange(1, 8);
    one.may_run_again = *rc::gen::arbitrary<bool>();
    one.did_not_run = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        one.deadline = base::time_point(base::milliseconds(*rc::gen::inRange(0, 10'000)));
    }
    return one;
}

TEST(retry_budget, bounds_retries_and_never_repeats_what_may_not_be) {
    EXPECT_TRUE(rc::check("any failures", [] {
        policy::retry_rules rules;
        rules.most_saved = 5;
        policy::retry_budget budget(rules);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const base::time_point now{};
        double requests = 0;
        double retries = 0;
        const int events = *rc::gen::inRange(0, 300);
        for (int i = 0; i < events; ++i) {
            if (*rc::gen::inRange(0, 3) == 0) {
                budget.note_request();
                ++requests;
                continue;
            }
            const policy::failed_attempt one = any_failure();
            const policy::retry_decision decided = budget.after(one, now, random);
            if (const auto* no = std::get_if<policy::no_retry>(&decided)) {
                RC_ASSERT(no->why.not_run == one.did_not_run);
                RC_ASSERT(one.may_run_again || one.did_not_run ||
                          no->why.reason == refusal_reason::outcome_unknown);
                continue;
            }
            const base::time_point when = std::get<policy::retry_at>(decided).when;
            ++retries;
            RC_ASSERT(one.may_run_again);
            RC_ASSERT(one.attempts < rules.most_attempts);
            RC_ASSERT(when >= now + rules.first_backoff / 2);
            RC_ASSERT(when <= now + rules.longest_backoff);
            RC_ASSERT(!one.deadline || when < *one.deadline);
        }
        RC_ASSERT(retries <= rules.most_saved + requests * rules.retries_per_request);
    }));
}

}  // namespace
