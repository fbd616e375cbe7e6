// The store is down for longer than every lease, then slow, then loses answers. Repeatable work
// continues. Work that needs the store is refused as not run, and never starts.
#include <cranberrydock/base/clock.hpp>

#include "standins/continuous_callers.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr base::milliseconds outage{11'000};  // longer than the VMs' leases of 10 s
constexpr base::milliseconds fault_time{4'000};
constexpr int long_task_ms = 12'000;
constexpr int slow_ms = 1'500;
constexpr int lost_permille = 200;
constexpr int caller_count = 6;
constexpr int min_answers = 30;

work_request repeatable_work(int caller, int n) {
    work_request out;
    out.key = "outage-" + std::to_string(caller) + "-" + std::to_string(n);
    out.task_time_ms = 10;
    return out;
}

work_request durable_work(const std::string& mark, bool job) {
    work_request out;
    out.repeatable = job;
    out.job = job;
    out.key = mark;
    out.extra_fields = {{"payload", json{{"for_ms", 5}, {"mark", mark}}.dump()}};
    return out;
}

class store_faults : public ::testing::Test {
protected:
    std::vector<std::int64_t> epochs() const {
        std::vector<std::int64_t> out;
        for (const char* const cell : {"nc-a", "nc-b", "sv-a"}) {
            out.push_back(daemons_.epoch_of(0, cell));
        }
        return out;
    }

    void expect_refused(const std::string& mark, bool job) {
        const work_response result = daemons_.submit(1, durable_work(mark, job));
        EXPECT_EQ(result.reason(), "store_unavailable") << result.body;
        EXPECT_TRUE(result.not_run()) << result.body;
    }

    // Applies the faults for `duration`, and waits until work makes progress both during and after
    // them.
    void run_with_faults(const json& faults, base::milliseconds duration,
                         continuous_callers& callers) {
        const base::time_point started_at = clock_.now();
        const int answered_before = callers.answered_count();
        daemons_.set_platform_faults(faults);
        EXPECT_TRUE(wait_until([&] {
            return clock_.now() - started_at > duration &&
                   callers.answered_count() > answered_before + min_answers;
        }));
        daemons_.set_platform_faults(json::object());
        const int answered_by_recovery = callers.answered_count();
        EXPECT_TRUE(wait_until(
            [&] { return callers.answered_count() > answered_by_recovery + min_answers; }));
    }

    base::monotonic_clock clock_;
    cell_cluster daemons_;
};

TEST_F(store_faults, outage_longer_than_leases) {
    const auto before = epochs();
    work_request long_work = repeatable_work(caller_count, 0);
    long_work.task_time_ms = long_task_ms;
    auto running = daemons_.submit_async(2, long_work);
    ASSERT_TRUE(wait_until([&] { return daemons_.checker_report().at("starts") > 0; }));
    continuous_callers callers(daemons_, {0, 1, 2}, caller_count, repeatable_work);
    daemons_.set_platform_faults({{"down", true}});
    auto request = std::async(std::launch::async, [this] { expect_refused("request", false); });
    auto job = std::async(std::launch::async, [this] { expect_refused("job", true); });
    run_with_faults({{"down", true}}, outage, callers);
    request.get();
    job.get();
    EXPECT_EQ(running.get().status, ok);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    const auto started = daemons_.checker_report().at("marks").get<std::set<std::string>>();
    EXPECT_EQ(started, std::set<std::string>{});
    EXPECT_EQ(daemons_.submit(1, durable_work("after", false)).status, ok);
    EXPECT_EQ(daemons_.submit(1, durable_work("job-after", true)).status, accepted);
    EXPECT_EQ(epochs(), before);
    EXPECT_EQ(daemons_.violations(), "");
}

TEST_F(store_faults, slow_store_and_lost_answers) {
    const auto before = epochs();
    continuous_callers callers(daemons_, {0, 1, 2}, caller_count, repeatable_work);
    run_with_faults({{"slow_ms", slow_ms}}, fault_time, callers);
    run_with_faults({{"lose_permille", lost_permille}}, fault_time, callers);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(epochs(), before);
    EXPECT_EQ(daemons_.violations(), "");
}

}  // namespace
