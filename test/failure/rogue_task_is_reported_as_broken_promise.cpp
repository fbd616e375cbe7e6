// A VM runs a task that no owner started. The owner of its cell reports the broken promise with its
// evidence, counts it and keeps serving. No other promise is reported as broken.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;

TEST(rogue_task, is_reported_as_broken_promise) {
    cell_cluster daemons;
    const auto owner = daemons.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    // The owner must have a report of the VM before the rogue task starts. It can then expect every
    // later start there to be its own.
    ASSERT_EQ(daemons.submit(*owner, {}).status, ok);
    const auto all_usable = [&] {
        const json listing = get_json(daemons.entry(*owner), "/v1/vms");
        for (const auto& it : listing.at("vms")) {
            if (it.at("state") != "usable") {
                return false;
            }
        }
        return !listing.at("vms").empty();
    };
    ASSERT_TRUE(wait_until(all_usable));

    daemons.command_vm(
        "vm-northcoast-a-1", "start_rogue",
        {{"task", "j-nobody/0"}, {"slots", 1}, {"millicores", 500}, {"memory_mib", 64}});

    json broken;
    EXPECT_TRUE(wait_until([&] {
        broken = get_json(daemons.entry(*owner), "/v1/promises").at("broken");
        return !broken.empty();
    }));
    for (const auto& it : broken) {
        EXPECT_EQ(it.at("promise"), "started_by_nobody") << it;
        EXPECT_NE(it.at("evidence").get<std::string>().find("vm-northcoast-a-1"),
                  std::string::npos);
    }
    EXPECT_NE(daemons.metrics(*owner).find(
                  "cranberrydock_promises_broken_total{promise=\"started_by_nobody\"} 1"),
              std::string::npos);
    EXPECT_EQ(daemons.submit(*owner, {}).status, ok);
}

}  // namespace
