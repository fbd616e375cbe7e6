// A team floods two cells with requests while an owner is killed and the team's limit is lowered.
// The VMs together never run more of its slots than the limit.
#include "standins/continuous_callers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int limit = 5;
constexpr int lowered_limit = 2;
constexpr int caller_count = 16;
constexpr int task_ms = 60;
constexpr int min_answers = 40;

work_request flood_work(int caller, int n) {
    work_request out;
    out.key = "flood-" + std::to_string(caller) + "-" + std::to_string(n);
    out.task_time_ms = task_ms;
    return out;
}

cell_cluster_options limited_team() {
    cell_cluster_options out;
    out.configuration = default_configuration();
    out.configuration["teams"]["survey"]["upper_limit"] = limit;
    return out;
}

// Polls the number of slots that run on all VMs. Each answer is a consistent snapshot, since one
// process serves all VMs.
class slot_monitor {
public:
    explicit slot_monitor(const cell_cluster& daemons)
        : daemons_(daemons), thread_([this] {
              while (!stopping_) {
                  poll();
              }
          }) {}
    ~slot_monitor() {
        stopping_ = true;
        thread_.join();
    }
    slot_monitor(const slot_monitor&) = delete;
    slot_monitor& operator=(const slot_monitor&) = delete;

    int current() const { return current_; }
    int peak() const { return peak_; }
    void reset_peak() { peak_ = 0; }

private:
    void poll() {
        int sum = 0;
        const json listing = daemons_.list_vms();
        for (const auto& it : listing.at("vms")) {
            sum += it.at("running").get<int>();
        }
        current_ = sum;
        peak_ = std::max(peak_.load(), sum);
    }

    const cell_cluster& daemons_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> current_{0};
    std::atomic<int> peak_{0};
    std::thread thread_;
};

TEST(team_limit, holds_across_takeover_and_lowering) {
    cell_cluster daemons(limited_team());
    constexpr std::size_t caller_entry = 2;  // owns no cell of northcoast
    const auto owner = daemons.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    ASSERT_NE(*owner, caller_entry);
    slot_monitor slots(daemons);
    continuous_callers callers(daemons, {caller_entry}, caller_count, flood_work);
    ASSERT_TRUE(
        wait_until([&] { return callers.answered_count() > min_answers && slots.peak() > 1; }));

    daemons.kill(*owner);
    ASSERT_TRUE(daemons.wait_until_owned("nc-a"));
    const int answered_at_takeover = callers.answered_count();
    EXPECT_TRUE(
        wait_until([&] { return callers.answered_count() > answered_at_takeover + min_answers; }));
    EXPECT_LE(slots.peak(), limit);

    daemons.patch_configuration(caller_entry,
                                {{"teams", {{"survey", {{"upper_limit", lowered_limit}}}}}});
    const int answered_at_lowering = callers.answered_count();
    // The limit is in force once the cells have released the slots above it.
    ASSERT_TRUE(wait_until([&] {
        slots.reset_peak();
        const int answered_before = callers.answered_count();
        return wait_until(
                   [&] { return callers.answered_count() > answered_before + min_answers; }) &&
               slots.peak() <= lowered_limit;
    })) << "answered since lowering: "
        << callers.answered_count() - answered_at_lowering << ", running now: " << slots.current();
    EXPECT_GT(callers.answered_count(), answered_at_lowering);
    slots.reset_peak();
    const int answered_before = callers.answered_count();
    EXPECT_TRUE(
        wait_until([&] { return callers.answered_count() > answered_before + min_answers; }));
    EXPECT_LE(slots.peak(), lowered_limit);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(daemons.violations(), "");
}

}  // namespace
