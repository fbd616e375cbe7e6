// Decides whether and when a failed attempt is retried. Retries add load when there is already too
// much of it, so each team's retries are limited to a fraction of its new requests. Attempts are
// spread by exponential backoff with jitter. A request that may have run is not retried unless it
// is repeatable.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/refusal.hpp>

#include <optional>
#include <random>
#include <variant>

namespace cranberrydock::policy {

struct retry_settings {
    int max_attempts = 4;  // including the first attempt
    // Retries that each new request adds to the budget, and the maximum that the budget holds.
    double retries_per_request = 0.1;
    double max_saved_retries = 50;
    // The backoff after the first attempt. It doubles with each further attempt, up to the maximum.
    base::duration initial_backoff = base::milliseconds(50);
    base::duration max_backoff = base::seconds(5);
};

struct failed_attempt {
    int attempts_made = 1;  // attempts made so far, including this one
    // True if the request is repeatable, or if this attempt provably did not run.
    bool may_run_again = false;
    bool did_not_run = false;  // true if this is proven for every attempt so far
    std::optional<base::time_point> deadline;
    base::refusal refusal;  // the refusal that this attempt ended with
};

struct retry_at {
    base::time_point when;
};

struct no_retry {
    base::refusal refusal;  // its not_run is set only if that is proven for every attempt
};

using retry_decision = std::variant<retry_at, no_retry>;

// The retry budget of one team.
class retry_budget {
public:
    explicit retry_budget(const retry_settings& rules)
        : rules_(rules), tokens_(rules.max_saved_retries) {}

    // Adds retries_per_request to the budget. Called once for each new request.
    void record_request();

    // Decides whether a failed attempt is retried, and when. A retry uses up one token.
    retry_decision decide(const failed_attempt& attempt, base::time_point now,
                          std::mt19937_64& random);

    // The budget that is left, in retries.
    double tokens() const { return tokens_; }

private:
    base::duration backoff(int attempts, std::mt19937_64& random) const;

    retry_settings rules_;
    double tokens_;  // in retries, 0 to max_saved_retries
};

}  // namespace cranberrydock::policy
