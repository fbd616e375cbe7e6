// The store is down for longer than every lease, then slow, then loses answers. Work that may be
// repeated goes on; work that needs the store is refused as not run, and never starts.
#include <cranberrydock/base/clock.hpp>

#include "standins/steady_callers.hpp"

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
constexpr base::milliseconds trouble{4'000};
constexpr int running_on_ms = 12'000;
constexpr int slow_ms = 1'500;
constexpr int lost_permille = 200;
constexpr int load = 6;
constexpr int goes_on = 30;  // answers

call_work repeatable_work(int caller, int n) {
    call_work out;
    out.key = "outage-" + std::to_string(caller) + "-" + std::to_string(n);
    out.for_ms = 10;
    return out;
}

call_work written_down(const std::string& mark, bool job) {
    call_work out;
    out.repeatable = job;
    out.job = job;
    out.key = mark;
    out.more = {{"payload", json{{"for_ms", 5}, {"mark", mark}}.dump()}};
    return out;
}

class store_trouble : public ::testing::Test {
protected:
    std::vector<std::int64_t> epochs() const {
        std::vector<std::int64_t> out;
        for (const char* const cell : {"nc-a", "nc-b", "sv-a"}) {
            out.push_back(daemons_.epoch_of(0, cell));
        }
        return out;
    }

    void expect_refused(const std::string& mark, bool job) {
        const call_result result = daemons_.submit(1, written_down(mark, job));
        EXPECT_EQ(result.reason(), "store_unavailable") << result.body;
        EXPECT_TRUE(result.not_run()) << result.body;
    }

    // Waits the trouble out, and for work to go on in it and after it.
    void go_through(const json& faults, base::milliseconds how_long, steady_callers& callers) {
        const base::time_point before = clock_.now();
        const int so_far = callers.answered();
        daemons_.set_platform_faults(faults);
        EXPECT_TRUE(wait_until([&] {
            return clock_.now() - before > how_long && callers.answered() > so_far + goes_on;
        }));
        daemons_.set_platform_faults(json::object());
        const int after = callers.answered();
        EXPECT_TRUE(wait_until([&] { return callers.answered() > after + goes_on; }));
    }

    base::monotonic_clock clock_;
    crew daemons_;
};

TEST_F(store_trouble, down_longer_than_every_lease) {
    const auto before = epochs();
    call_work long_work = repeatable_work(load, 0);
    long_work.for_ms = running_on_ms;
    auto running = daemons_.submit_later(2, long_work);
    ASSERT_TRUE(wait_until([&] { return daemons_.judge().at("starts") > 0; }));
    steady_callers callers(daemons_, {0, 1, 2}, load, repeatable_work);
    daemons_.set_platform_faults({{"down", true}});
    auto request = std::async(std::launch::async, [this] { expect_refused("request", false); });
    auto job = std::async(std::launch::async, [this] { expect_refused("job", true); });
    go_through({{"down", true}}, outage, callers);
    request.get();
    job.get();
    EXPECT_EQ(running.get().status, ok);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    const auto started = daemons_.judge().at("marks").get<std::set<std::string>>();
    EXPECT_EQ(started, std::set<std::string>{});
    EXPECT_EQ(daemons_.submit(1, written_down("after", false)).status, ok);
    EXPECT_EQ(daemons_.submit(1, written_down("job-after", true)).status, accepted);
    EXPECT_EQ(epochs(), before);
    EXPECT_EQ(daemons_.breaches(), "");
}

TEST_F(store_trouble, slow_and_losing_answers) {
    const auto before = epochs();
    steady_callers callers(daemons_, {0, 1, 2}, load, repeatable_work);
    go_through({{"slow_ms", slow_ms}}, trouble, callers);
    go_through({{"lose_permille", lost_permille}}, trouble, callers);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(epochs(), before);
    EXPECT_EQ(daemons_.breaches(), "");
}

}  // namespace
