// The owner of a cell is suspended under load for longer than every lease, and resumed after
// another daemon has taken over. The requests that it still holds are answered without a broken
// promise, and it serves as an entry again.
#include <cranberrydock/base/clock.hpp>

#include "standins/continuous_callers.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int caller_count = 8;    // at the other entries
constexpr int open_requests = 12;  // at the owner while it is suspended
constexpr int answers_before_suspension = 60;
constexpr int answers_after_resumption = 60;
constexpr base::milliseconds max_lease{10'000};  // of the VMs' tasks
constexpr int long_task_ms = 1'500;

work_request short_work(int caller, int n) {
    work_request out;
    out.repeatable = n % 2 == 0;
    out.key = "load-" + std::to_string(caller) + "-" + std::to_string(n);
    out.task_time_ms = 20;
    return out;
}

work_request long_work(int i) {
    work_request out;
    out.repeatable = i % 2 == 0;
    out.key = "caught-" + std::to_string(i);
    out.task_time_ms = long_task_ms;
    out.answer = "answer-" + std::to_string(i);
    return out;
}

TEST(suspended_owner, starts_no_stale_work_when_resumed) {
    cell_cluster daemons;
    const auto owner = daemons.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (i != *owner) {
            others.push_back(i);
        }
    }
    continuous_callers callers(daemons, others, caller_count, short_work);
    std::vector<std::future<work_response>> calls;
    calls.reserve(open_requests);
    for (int i = 0; i < open_requests; ++i) {
        calls.push_back(daemons.submit_async(*owner, long_work(i)));
    }
    ASSERT_TRUE(wait_until([&] { return callers.answered_count() > answers_before_suspension; }));

    const base::monotonic_clock clock;
    const base::time_point suspended_at = clock.now();
    daemons.daemon_process(*owner).signal(SIGSTOP);
    // Another daemon is the owner then, since this one does not answer.
    ASSERT_TRUE(daemons.wait_until_owned("nc-a"));
    ASSERT_TRUE(wait_until([&] { return clock.now() - suspended_at > max_lease; }));
    const int answered_at_resumption = callers.answered_count();
    daemons.daemon_process(*owner).signal(SIGCONT);

    EXPECT_TRUE(wait_until([&] {
        return callers.answered_count() > answered_at_resumption + answers_after_resumption;
    }));
    for (int i = 0; i < open_requests; ++i) {
        const work_response result = calls[static_cast<std::size_t>(i)].get();
        EXPECT_EQ(result.status, ok) << result.body;
        EXPECT_EQ(result.answer(), "answer-" + std::to_string(i));
    }
    EXPECT_TRUE(wait_until([&] { return daemons.ready(*owner); }));
    EXPECT_EQ(daemons.submit(*owner, long_work(open_requests)).status, ok);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(daemons.violations(), "");
}

}  // namespace
