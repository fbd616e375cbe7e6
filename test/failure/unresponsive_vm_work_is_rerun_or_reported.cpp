// A VM that runs work of every kind becomes unresponsive for longer than its leases and then
// answers again, or is replaced at the same address. Repeatable work is run elsewhere and answered.
// Non-repeatable work is answered by the VM's own report, or its outcome is unknown.
#include <cranberrydock/base/clock.hpp>

#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int request_count = 16;
constexpr int short_ms = 1'000;  // completes while the VM is unresponsive
constexpr int long_ms = 6'000;   // does not complete in time: its lease expires
constexpr base::milliseconds past_every_lease{5'000};
const char* const vm_name = "vm-northcoast-a-1";

cell_cluster_options one_cell() {
    cell_cluster_options out;
    out.configuration = default_configuration();
    out.configuration["cells"].erase("nc-b");
    out.extra_settings = "[vm]\nlease_ms = 4000\nwatch_ms = 500\ncommand_timeout_ms = 1000\n";
    return out;
}

work_request numbered_work(int i) {
    work_request out;
    out.repeatable = i % 2 == 0;
    out.task_time_ms = i % 4 < 2 ? short_ms : long_ms;
    out.key = "silent-" + std::to_string(i);
    out.answer = "answer-" + std::to_string(i);
    return out;
}

class unresponsive_vm : public ::testing::Test {
protected:
    // Submits all work and returns once all of it runs, some of it on the VM.
    void submit_all() {
        for (int i = 0; i < request_count; ++i) {
            calls_.push_back(daemons_.submit_async(0, numbered_work(i)));
        }
        ASSERT_TRUE(
            wait_until([&] { return daemons_.checker_report().at("starts") == request_count; }));
        const json listing = daemons_.list_vms();
        for (const auto& it : listing.at("vms")) {
            EXPECT_TRUE(it.at("id") != vm_name || it.at("running") > 0);
        }
    }

    void expect_answers() {
        for (int i = 0; i < request_count; ++i) {
            const work_response result = calls_[static_cast<std::size_t>(i)].get();
            const bool may_be_unknown = i % 2 == 1;
            if (may_be_unknown && result.reason() == "outcome_unknown") {
                EXPECT_FALSE(result.not_run()) << result.body;
                continue;
            }
            const bool reported_by_vm =
                result.reason() == "attempts_exhausted" &&
                result.body.value("detail", "").find("lease_lapsed") != std::string::npos;
            if (may_be_unknown && reported_by_vm) {
                EXPECT_FALSE(result.not_run()) << result.body;
                continue;
            }
            EXPECT_EQ(result.status, ok) << i << ": " << result.body;
            EXPECT_EQ(result.answer(), "answer-" + std::to_string(i));
        }
        EXPECT_EQ(daemons_.violations(), "");
    }

    base::monotonic_clock clock_;
    cell_cluster daemons_{one_cell()};
    std::vector<std::future<work_response>> calls_;
};

TEST_F(unresponsive_vm, recovers_after_leases_expire) {
    submit_all();
    const base::time_point silenced_at = clock_.now();
    daemons_.command_vm(vm_name, "silence");
    ASSERT_TRUE(wait_until([&] { return clock_.now() - silenced_at > past_every_lease; }));
    daemons_.command_vm(vm_name, "speak");
    expect_answers();
}

TEST_F(unresponsive_vm, is_replaced_at_same_address) {
    submit_all();
    daemons_.command_vm(vm_name, "replace");
    expect_answers();
}

}  // namespace
