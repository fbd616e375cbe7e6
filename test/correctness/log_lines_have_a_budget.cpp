// Log lines of one kind are limited per second, and the omitted lines are counted.
#include <cranberrydock/base/log_budget.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock::base;

TEST(log_budget, bounds_each_second) {
    log_budget budget("task_started", 3);
    time_point now{std::chrono::seconds(10)};
    int written = 0;
    for (int i = 0; i < 10; ++i) {
        written += budget.allows(now) ? 1 : 0;
    }
    EXPECT_EQ(written, 3);
    EXPECT_EQ(budget.left_out(), 7);
    now += std::chrono::seconds(1);
    EXPECT_TRUE(budget.allows(now));
    EXPECT_EQ(budget.left_out(), 0);
}

}  // namespace
