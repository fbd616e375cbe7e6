// Each daemon in turn is stopped gracefully and started again under load. Callers that send to
// ready entries see no failure, not even for requests that are open at the stopped daemon.
#include "standins/continuous_callers.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int caller_count = 8;
constexpr int long_request_interval = 7;  // one request in this many is long
constexpr int long_ms = 2'000;
constexpr int answers_between_stops = 40;
constexpr int requests_open_at_stop = 6;

work_request mixed_work(int caller, int n) {
    work_request out;
    out.repeatable = (caller + n) % 2 == 0;
    out.queue = n % 3 == 0 ? "previews" : "mosaics";
    out.key = "rolling-" + std::to_string(caller) + "-" + std::to_string(n);
    out.task_time_ms = (caller + n) % long_request_interval == 0 ? long_ms : 10;
    return out;
}

work_request long_work(std::size_t daemon, int i) {
    work_request out;
    out.repeatable = i % 2 == 0;
    out.key = "open-" + std::to_string(daemon) + "-" + std::to_string(i);
    out.task_time_ms = long_ms;
    out.answer = out.key;
    return out;
}

TEST(rolling_restart, fails_no_request) {
    cell_cluster daemons;
    continuous_callers callers(daemons, {0, 1, 2}, caller_count, mixed_work);
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        ASSERT_TRUE(wait_until([&] { return daemons.ready(i); }));
        const int answered_before = callers.answered_count();
        ASSERT_TRUE(wait_until(
            [&] { return callers.answered_count() > answered_before + answers_between_stops; }));
        const std::int64_t starts_before = daemons.checker_report().at("starts");
        std::vector<std::future<work_response>> open_calls;
        open_calls.reserve(requests_open_at_stop);
        for (int n = 0; n < requests_open_at_stop; ++n) {
            open_calls.push_back(daemons.submit_async(i, long_work(i, n)));
        }
        ASSERT_TRUE(wait_until([&] {
            return daemons.checker_report().at("starts").get<std::int64_t>() >=
                   starts_before + requests_open_at_stop;
        }));
        EXPECT_EQ(daemons.stop(i), 0);
        for (auto& it : open_calls) {
            const work_response result = it.get();
            EXPECT_EQ(result.status, ok) << result.body;
        }
        daemons.restart(i);
    }
    const int answered_before = callers.answered_count();
    EXPECT_TRUE(wait_until(
        [&] { return callers.answered_count() > answered_before + answers_between_stops; }));
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(daemons.violations(), "");
}

}  // namespace
