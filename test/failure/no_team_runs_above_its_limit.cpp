// A team floods two cells while an owner is killed and its limit is lowered: the VMs together never
// run more of its slots than the limit.
#include "standins/steady_callers.hpp"

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
constexpr int lowered = 2;
constexpr int load = 16;
constexpr int task_ms = 60;
constexpr int goes_on = 40;  // answers

call_work flood(int caller, int n) {
    call_work out;
    out.key = "flood-" + std::to_string(caller) + "-" + std::to_string(n);
    out.for_ms = task_ms;
    return out;
}

crew_shape limited_team() {
    crew_shape out;
    out.configuration = default_configuration();
    out.configuration["teams"]["survey"]["upper_limit"] = limit;
    return out;
}

// Asks the VMs again and again how many slots run: each answer is of one moment, for one process
// serves them all.
class slot_watch {
public:
    explicit slot_watch(const crew& daemons)
        : daemons_(daemons), thread_([this] {
              while (!stopping_) {
                  look();
              }
          }) {}
    ~slot_watch() {
        stopping_ = true;
        thread_.join();
    }
    slot_watch(const slot_watch&) = delete;
    slot_watch& operator=(const slot_watch&) = delete;

    int now() const { return now_; }
    int most() const { return most_; }
    void forget() { most_ = 0; }

private:
    void look() {
        int sum = 0;
        const json seen = daemons_.list_vms();
        for (const auto& it : seen.at("vms")) {
            sum += it.at("running").get<int>();
        }
        now_ = sum;
        most_ = std::max(most_.load(), sum);
    }

    const crew& daemons_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> now_{0};
    std::atomic<int> most_{0};
    std::thread thread_;
};

TEST(team_limit, holds_through_a_takeover_and_when_lowered) {
    crew daemons(limited_team());
    constexpr std::size_t caller_entry = 2;  // owns no cell of northcoast
    const auto owner = daemons.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    ASSERT_NE(*owner, caller_entry);
    slot_watch slots(daemons);
    steady_callers callers(daemons, {caller_entry}, load, flood);
    ASSERT_TRUE(wait_until([&] { return callers.answered() > goes_on && slots.most() > 1; }));

    daemons.kill(*owner);
    ASSERT_TRUE(daemons.wait_until_owned("nc-a"));
    const int by_takeover = callers.answered();
    EXPECT_TRUE(wait_until([&] { return callers.answered() > by_takeover + goes_on; }));
    EXPECT_LE(slots.most(), limit);

    daemons.patch(caller_entry, {{"teams", {{"survey", {{"upper_limit", lowered}}}}}});
    const int by_lowering = callers.answered();
    // In force once the cells have given up what is above it.
    ASSERT_TRUE(wait_until([&] {
        slots.forget();
        const int so_far = callers.answered();
        return wait_until([&] { return callers.answered() > so_far + goes_on; }) &&
               slots.most() <= lowered;
    })) << "answered after lowering: "
        << callers.answered() - by_lowering << ", running now: " << slots.now();
    EXPECT_GT(callers.answered(), by_lowering);
    slots.forget();
    const int so_far = callers.answered();
    EXPECT_TRUE(wait_until([&] { return callers.answered() > so_far + goes_on; }));
    EXPECT_LE(slots.most(), lowered);
    callers.stop();
    EXPECT_EQ(callers.failures(), std::vector<std::string>{});
    EXPECT_EQ(daemons.breaches(), "");
}

}  // namespace
