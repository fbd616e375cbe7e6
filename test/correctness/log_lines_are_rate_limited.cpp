// Log lines of one kind are limited per second, and the omitted lines are counted.
#include <cranberrydock/base/log_rate_limiter.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock::base;

TEST(log_rate_limiter, limits_lines_per_second) {
    log_rate_limiter budget("task_started", 3);
    time_point now{std::chrono::seconds(10)};
    int written = 0;
    for (int i = 0; i < 10; ++i) {
        written += budget.allows(now) ? 1 : 0;
    }
    EXPECT_EQ(written, 3);
    EXPECT_EQ(budget.suppressed_lines(), 7);
    now += std::chrono::seconds(1);
    EXPECT_TRUE(budget.allows(now));
    EXPECT_EQ(budget.suppressed_lines(), 0);
}

}  // namespace
