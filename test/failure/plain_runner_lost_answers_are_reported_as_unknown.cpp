// Plain HTTP runners, which support neither leases nor epochs, do the work of a cell without worker
// VMs. More requests than slots are all answered, and no runner gets non-repeatable work twice.
// When the owner is killed while such a request is open, the outcome is reported as unknown and the
// work is not run again.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int bad_gateway = 502;
constexpr int callers = 24;  // more than the 16 slots of two runners

cell_cluster_options without_workers() {
    cell_cluster_options out;
    out.vm_fleet.zones = "southvale/southvale-a";
    out.configuration = default_configuration();
    out.configuration["cells"].erase("nc-b");
    return out;
}

// Starts the runners of northcoast-a as a separate process, which ends with the test.
class runners {
public:
    explicit runners(const cell_cluster& daemons)
        : process_({"standin_runner",
                    {"--platform=" + daemons.platform_address().text(), "--count=2"},
                    (daemons.folder() / "runners.log").string()}),
          address_(process_.wait_until_listening(generous_timeout)) {}

    json checker_report() const { return get_json(address_, "/judge"); }

private:
    process process_;
    cranberrydock::net::endpoint address_;
};

work_request numbered_work(int i, int for_ms) {
    work_request out;
    out.repeatable = i % 2 == 0;
    out.key = "run-" + std::to_string(i);
    out.task_time_ms = for_ms;
    out.answer = "answer-" + std::to_string(i);
    return out;
}

TEST(plain_runners, serve_work_and_lost_answers_are_reported_as_unknown) {
    cell_cluster daemons(without_workers());
    const runners upstreams(daemons);
    constexpr std::size_t caller_entry = 2;
    std::vector<std::future<work_response>> calls;
    calls.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        calls.push_back(daemons.submit_async(caller_entry, numbered_work(i, 100)));
    }
    for (int i = 0; i < callers; ++i) {
        const work_response result = calls[static_cast<std::size_t>(i)].get();
        EXPECT_EQ(result.status, ok) << result.body;
        EXPECT_EQ(result.answer(), "answer-" + std::to_string(i));
    }
    EXPECT_EQ(upstreams.checker_report().at("total"), 0);

    constexpr int long_ms = 20'000;
    const auto starts_before = upstreams.checker_report().at("starts").get<int>();
    auto open_call = daemons.submit_async(caller_entry, numbered_work(callers + 1, long_ms));
    ASSERT_TRUE(
        wait_until([&] { return upstreams.checker_report().at("starts") == starts_before + 1; }));
    daemons.kill(*daemons.owner_of("nc-a"));
    const work_response lost_result = open_call.get();
    EXPECT_EQ(lost_result.status, bad_gateway) << lost_result.body;
    EXPECT_EQ(lost_result.reason(), "outcome_unknown");
    EXPECT_FALSE(lost_result.not_run());
    EXPECT_EQ(upstreams.checker_report().at("starts"), starts_before + 1);
    EXPECT_EQ(upstreams.checker_report().at("total"), 0);
}

}  // namespace
