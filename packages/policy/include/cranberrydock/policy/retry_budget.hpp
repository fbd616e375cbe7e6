// Whether and when a failed attempt is tried again. Retries add load just when there is too much of
// it, so each team's retries stay a part of its fresh requests; attempts spread out by backoff with
// jitter; and what may have run is never tried again unless it may be repeated.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/refusal.hpp>

#include <optional>
#include <random>
#include <variant>

namespace cranberrydock::policy {

struct retry_rules {
    int most_attempts = 4;  // the first one included
    // Retries that each fresh request earns, and how many can be saved up.
    double retries_per_request = 0.1;
    double most_saved = 50;
    // The first backoff; twice as long after each further attempt, up to the longest.
    base::duration first_backoff = base::milliseconds(50);
    base::duration longest_backoff = base::seconds(5);
};

// An attempt that has failed.
struct failed_attempt {
    int attempts = 1;  // so far, this one included
    // The request may be run twice, or it is proven that this attempt did not run.
    bool may_run_again = false;
    bool did_not_run = false;  // proven for every attempt so far
    std::optional<base::time_point> deadline;
    base::refusal why;  // of this attempt
};

struct retry_at {
    base::time_point when;
};

struct no_retry {
    base::refusal why;  // not_run only when that is proven for every attempt
};

using retry_decision = std::variant<retry_at, no_retry>;

// One team's budget.
class retry_budget {
public:
    explicit retry_budget(const retry_rules& rules) : rules_(rules), tokens_(rules.most_saved) {}

    // A fresh request has come: it earns a part of a retry.
    void note_request();

    retry_decision after(const failed_attempt& one, base::time_point now, std::mt19937_64& random);

    // Retries that could be made at once.
    double tokens() const { return tokens_; }

private:
    base::duration backoff(int attempts, std::mt19937_64& random) const;

    retry_rules rules_;
    double tokens_;  // 0 to most_saved
};

}  // namespace cranberrydock::policy
