// Work of a team waits in two cells while an owner is killed or the limit is lowered. The VMs
// together never run more of the team's work than its limit, and all work finishes.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int limit = 6;
constexpr int lowered_limit = 2;
constexpr int callers = 40;
constexpr std::size_t caller_entry = 2;  // owns neither cell of northcoast

class limited_team : public ::testing::Test {
protected:
    limited_team() : daemons_(shape()) {
        EXPECT_TRUE(wait_until([this] { return has_configuration(); }));
    }

    static cell_cluster_options shape() {
        cell_cluster_options result;
        result.configuration = default_configuration();
        result.configuration["teams"]["survey"]["upper_limit"] = limit;
        return result;
    }

    bool has_configuration() const {
        return get_json(daemons_.entry(caller_entry), "/v1/config").at("version") > 0;
    }

    void submit_all(int for_ms) {
        for (int i = 0; i < callers; ++i) {
            work_request work;
            work.key = "work-" + std::to_string(i);
            work.task_time_ms = for_ms;
            calls_.push_back(daemons_.submit_async(caller_entry, work));
        }
    }

    int running() const {
        int result = 0;
        const auto vms = daemons_.list_vms();
        for (const auto& it : vms.at("vms")) {
            result += it.at("running").get<int>();
        }
        return result;
    }

    bool all_done() const {
        return std::all_of(calls_.begin(), calls_.end(), [](const auto& it) {
            return it.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        });
    }

    // The highest number of running tasks seen until every call has its answer.
    int peak_until_done() const {
        int peak = 0;
        const bool done = wait_until([&] {
            peak = std::max(peak, running());
            return all_done();
        });
        EXPECT_TRUE(done);
        return peak;
    }

    void expect_answers() {
        for (auto& it : calls_) {
            const auto result = it.get();
            EXPECT_EQ(result.status, ok) << result.body;
        }
        EXPECT_EQ(daemons_.violations(), "");
    }

    cell_cluster daemons_;
    std::vector<std::future<work_response>> calls_;
};

}  // namespace

TEST_F(limited_team, stays_within_limit_when_owner_is_killed) {
    submit_all(500);
    EXPECT_TRUE(wait_until([&] { return running() == limit; }));
    const auto owner = daemons_.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    daemons_.kill(*owner);
    EXPECT_LE(peak_until_done(), limit);
    expect_answers();
}

TEST_F(limited_team, drops_to_lowered_limit) {
    submit_all(300);
    EXPECT_TRUE(wait_until([&] { return running() == limit; }));
    daemons_.patch_configuration(0, {{"teams", {{"survey", {{"upper_limit", lowered_limit}}}}}});
    EXPECT_TRUE(wait_until([&] { return running() <= lowered_limit; }));
    EXPECT_LE(peak_until_done(), lowered_limit);
    expect_answers();
}
