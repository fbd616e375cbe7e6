// Two VMs leave while requests keep coming. The member list shows the first one late; the second
// one announces its leaving only in its own reports. Neither VM gets a new start after a few
// seconds, and the tasks that run on them finish.
#include <cranberrydock/base/clock.hpp>

#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int callers = 6;
constexpr int long_tasks = 16;
constexpr int long_task_ms = 12'000;
constexpr int lag_ms = 1'000;
constexpr int lag_beyond_test_ms = 3'600'000;

// No VM may get a start later than this after it begins to leave. Includes the lag of the member
// list.
constexpr base::milliseconds last_start_limit{4'000};
// How long starts are observed in total.
constexpr base::milliseconds observation_time{9'000};

// Sends short requests through every entry in a loop, so that each VM would get some of them.
class continuous_callers {
public:
    explicit continuous_callers(const cell_cluster& daemons) {
        for (int i = 0; i < callers; ++i) {
            threads_.emplace_back([this, &daemons, i] { run(daemons, i); });
        }
    }
    ~continuous_callers() { stop(); }
    continuous_callers(const continuous_callers&) = delete;
    continuous_callers& operator=(const continuous_callers&) = delete;

    void stop() {
        stopping_ = true;
        for (auto& it : threads_) {
            if (it.joinable()) {
                it.join();
            }
        }
    }

    int done() const { return done_; }
    int failed() const { return failed_; }

private:
    void run(const cell_cluster& daemons, int i) {
        work_request work;
        work.task_time_ms = 20;
        while (!stopping_) {
            const work_response result =
                daemons.submit(static_cast<std::size_t>(i) % daemons.size(), work);
            (result.status == ok ? done_ : failed_) += 1;
        }
    }

    std::atomic<bool> stopping_{false};
    std::atomic<int> done_{0};
    std::atomic<int> failed_{0};
    std::vector<std::thread> threads_;  // last: they use the members above
};

class leaving_vm : public ::testing::Test {
protected:
    json vm_entry(const std::string& id) const {
        const json listing = daemons_.list_vms();
        for (const auto& it : listing.at("vms")) {
            if (it.at("id") == id) {
                return it;
            }
        }
        return json::object();
    }

    // A VM of the zone that runs something. The zone is in the home region of the team.
    std::string busy_vm_of(const std::string& zone) const {
        std::string out;
        wait_until([&] {
            const json listing = daemons_.list_vms();
            for (const auto& it : listing.at("vms")) {
                if (it.at("zone") == zone && it.at("running") > 0) {
                    out = it.at("id");
                }
            }
            return !out.empty();
        });
        return out;
    }

    cell_cluster daemons_;
    base::monotonic_clock clock_;
};

TEST_F(leaving_vm, gets_no_new_work_and_finishes_running_tasks) {
    std::vector<std::future<work_response>> long_calls;
    for (int i = 0; i < long_tasks; ++i) {
        work_request work;
        work.repeatable = false;
        work.key = "long-" + std::to_string(i);
        work.task_time_ms = long_task_ms;
        work.answer = work.key;
        long_calls.push_back(
            daemons_.submit_async(static_cast<std::size_t>(i) % daemons_.size(), work));
    }
    ASSERT_TRUE(wait_until([&] { return daemons_.checker_report().at("starts") == long_tasks; }))
        << daemons_.checker_report();
    const std::string listed_vm = busy_vm_of("northcoast-a");
    const std::string self_reporting_vm = busy_vm_of("northcoast-b");
    continuous_callers callers_of_short_work(daemons_);
    ASSERT_TRUE(wait_until([&] { return callers_of_short_work.done() > callers; }));

    const auto left_at = clock_.now();
    daemons_.command_vm(listed_vm, "leave", {{"lag_ms", lag_ms}});
    daemons_.command_vm(self_reporting_vm, "leave", {{"lag_ms", lag_beyond_test_ms}});

    ASSERT_TRUE(wait_until([&] { return clock_.now() - left_at > observation_time; }));
    callers_of_short_work.stop();
    for (const std::string& it : {listed_vm, self_reporting_vm}) {
        EXPECT_LE(vm_entry(it).at("last_start_after_leave_ms"), last_start_limit.count()) << it;
    }
    EXPECT_EQ(callers_of_short_work.failed(), 0);
    for (int i = 0; i < long_tasks; ++i) {
        const work_response result = long_calls.at(static_cast<std::size_t>(i)).get();
        EXPECT_EQ(result.status, ok) << result.body;
        EXPECT_EQ(result.answer(), "long-" + std::to_string(i));
    }
    EXPECT_EQ(daemons_.violations(), "");
}

}  // namespace
