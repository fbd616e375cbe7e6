// A VM falls silent past its leases while it runs work of every kind, and speaks again; another is
// replaced under the same address. What may be repeated is run elsewhere and answered, what may not
// is answered by the VM's own word or as unknown.
#include <cranberrydock/base/clock.hpp>

#include "standins/crew.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int works = 16;
constexpr int short_ms = 1'000;  // ends in the silence
constexpr int long_ms = 6'000;   // does not: its lease lapses
constexpr base::milliseconds past_every_lease{5'000};
const char* const vm = "vm-northcoast-a-1";

crew_shape one_cell() {
    crew_shape out;
    out.configuration = default_configuration();
    out.configuration["cells"].erase("nc-b");
    out.more_settings = "[vm]\nlease_ms = 4000\nwatch_ms = 500\ncommand_timeout_ms = 1000\n";
    return out;
}

call_work numbered(int i) {
    call_work out;
    out.repeatable = i % 2 == 0;
    out.for_ms = i % 4 < 2 ? short_ms : long_ms;
    out.key = "silent-" + std::to_string(i);
    out.answer = "answer-" + std::to_string(i);
    return out;
}

class silent_vm : public ::testing::Test {
protected:
    // Returns once all run, some of it on the VM.
    void send_all() {
        for (int i = 0; i < works; ++i) {
            calls_.push_back(daemons_.submit_later(0, numbered(i)));
        }
        ASSERT_TRUE(wait_until([&] { return daemons_.judge().at("starts") == works; }));
        const json seen = daemons_.list_vms();
        for (const auto& it : seen.at("vms")) {
            EXPECT_TRUE(it.at("id") != vm || it.at("running") > 0);
        }
    }

    void expect_answers() {
        for (int i = 0; i < works; ++i) {
            const call_result result = calls_[static_cast<std::size_t>(i)].get();
            const bool may_be_unknown = i % 2 == 1;
            if (may_be_unknown && result.reason() == "outcome_unknown") {
                EXPECT_FALSE(result.not_run()) << result.body;
                continue;
            }
            const bool own_word =
                result.reason() == "attempts_exhausted" &&
                result.body.value("detail", "").find("lease_lapsed") != std::string::npos;
            if (may_be_unknown && own_word) {
                EXPECT_FALSE(result.not_run()) << result.body;
                continue;
            }
            EXPECT_EQ(result.status, ok) << i << ": " << result.body;
            EXPECT_EQ(result.answer(), "answer-" + std::to_string(i));
        }
        EXPECT_EQ(daemons_.breaches(), "");
    }

    base::monotonic_clock clock_;
    crew daemons_{one_cell()};
    std::vector<std::future<call_result>> calls_;
};

TEST_F(silent_vm, comes_back) {
    send_all();
    const base::time_point silenced = clock_.now();
    daemons_.command_vm(vm, "silence");
    ASSERT_TRUE(wait_until([&] { return clock_.now() - silenced > past_every_lease; }));
    daemons_.command_vm(vm, "speak");
    expect_answers();
}

TEST_F(silent_vm, is_replaced_under_the_same_address) {
    send_all();
    daemons_.command_vm(vm, "replace");
    expect_answers();
}

}  // namespace
