// The owner of a cell is frozen under load for longer than every lease and thawed after another has
// taken over: nothing that it still held in hand does harm, and it serves as an entry again.
#include <cranberrydock/base/clock.hpp>

#include "standins/steady_callers.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int load = 8;              // callers at the other entries
constexpr int caught = 12;           // requests open at the owner while it is frozen
constexpr int before_freezing = 60;  // answers
constexpr int after_thawing = 60;
constexpr base::milliseconds longest_lease{10'000};  // of the VMs' tasks
constexpr int long_task_ms = 1'500;

call_work short_work(int caller, int n) {
    call_work out;
    out.repeatable = n % 2 == 0;
    out.key = "load-" + std::to_string(caller) + "-" + std::to_string(n);
    out.for_ms = 20;
    return out;
}

call_work caught_work(int i) {
    call_work out;
    out.repeatable = i % 2 == 0;
    out.key = "caught-" + std::to_string(i);
    out.for_ms = long_task_ms;
    out.answer = "answer-" + std::to_string(i);
    return out;
}

TEST(frozen_owner, starts_nothing_once_thawed) {
    crew daemons;
    const auto owner = daemons.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (i != *owner) {
            others.push_back(i);
        }
    }
    steady_callers callers(daemons, others, load, short_work);
    std::vector<std::future<call_result>> calls;
    calls.reserve(caught);
    for (int i = 0; i < caught; ++i) {
        calls.push_back(daemons.submit_later(*owner, caught_work(i)));
    }
    ASSERT_TRUE(wait_until([&] { return callers.answered() > before_freezing; }));

    const base::monotonic_clock clock;
    const base::time_point frozen = clock.now();
    daemons.running(*owner).signal(SIGSTOP);
    ASSERT_TRUE(daemons.wait_until_owned("nc-a"));  // by another: this one does not answer
    ASSERT_TRUE(wait_until([&] { return clock.now() - frozen > longest_lease; }));
    const int by_thawing = callers.answered();
    daemons.running(*owner).signal(SIGCONT);

    EXPECT_TRUE(wait_until([&] { return callers.answered() > by_thawing + after_thawing; }));
    for (int i = 0; i < caught; ++i) {
        const call_result result = calls[static_cast<std::size_t>(i)].get();
        EXPECT_EQ(result.status, ok) << result.body;
        EXPECT_EQ(result.answer(), "answer-" + std::to_string(i));
    }
    EXPECT_TRUE(wait_until([&] { return daemons.ready(*owner); }));
    EXPECT_EQ(daemons.submit(*owner, caught_work(caught)).status, ok);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(daemons.breaches(), "");
}

}  // namespace
