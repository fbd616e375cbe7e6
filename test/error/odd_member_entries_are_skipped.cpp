// Guards against an entry of another writer in the member list that ends the daemons, stops them
// from following the list, or distorts the figures of the fleet. Such an entry names no VM; the
// other entries hold.
#include <cranberrydock/shared_platform/json_platform_rows.hpp>

#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <map>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int daemon_count = 2;
constexpr base::milliseconds wait_timeout{30'000};
constexpr std::size_t nesting_depth = 30'000;  // a value of just under 64 KiB

json valid_entry() {
    return {{"service", "svc"},
            {"address", "127.0.0.1:9"},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"capacity", {{"cpu", 8'000}, {"memMb", 65'536}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"born", 1'000},
            {"seq", 1}};
}

std::string nested_arrays() {
    return std::string(nesting_depth, '[') + std::string(nesting_depth, ']');
}

// A valid entry with the text `value` as the value of the field.
std::string entry_with(const std::string& field, const std::string& value) {
    constexpr const char* mark = "MARK";
    json entry = valid_entry();
    entry[json::json_pointer(field)] = mark;
    std::string out = entry.dump();
    const std::string quoted = std::string("\"") + mark + "\"";
    return out.replace(out.find(quoted), quoted.size(), value);
}

std::map<std::string, std::string> odd_entries() {
    return {
        {"empty", ""},
        {"no_json", "{\"service\":"},
        {"no_text", "\xff\xfe\x00garbage"},
        {"nested", nested_arrays()},
        {"nested_labels", entry_with("/labels", nested_arrays())},
        {"nested_capacity", entry_with("/capacity", nested_arrays())},
        {"nested_address", entry_with("/address", nested_arrays())},
        {"labels_of_numbers", entry_with("/labels", "[1,2]")},
        {"unnamed_state", entry_with("/state", "\"sleeping\"")},
        {"no_address", entry_with("/address", "null")},
        {"port_too_large", entry_with("/address", "\"127.0.0.1:70000\"")},
        {"port_far_too_large", entry_with("/address", "\"127.0.0.1:99999999999999999999\"")},
        {"port_negative", entry_with("/address", "\"127.0.0.1:-1\"")},
        {"port_zero", entry_with("/address", "\"127.0.0.1:0\"")},
        {"host_name", entry_with("/address", "\"vm.example:80\"")},
        {"no_host", entry_with("/address", "\"300.1.1.1:80\"")},
        {"born_out_of_range", entry_with("/born", "1e300")},
        {"born_beyond_double", entry_with("/born", "1e400")},
        {"born_unsigned", entry_with("/born", "18446744073709551615")},
        {"cpu_out_of_range", entry_with("/capacity/cpu", "1e300")},
        {"cpu_absurd", entry_with("/capacity/cpu", "9000000000000000000")},
        {"cpu_negative", entry_with("/capacity/cpu", "-1000")},
        {"memory_absurd", entry_with("/capacity/memMb", "9000000000000000000")},
    };
}

TEST(odd_member_entry, is_unreadable) {
    const auto rows = shared_platform::make_platform_rows();
    ASSERT_TRUE(rows->read_member(fleet::vm_id("i"), valid_entry().dump()));
    for (const auto& it : odd_entries()) {
        EXPECT_FALSE(rows->read_member(fleet::vm_id("i"), it.second)) << it.first;
    }
}

TEST(odd_member_entry, does_not_disturb_daemons) {
    fleet_cluster daemons(daemon_count, platform_site_options{});
    ASSERT_TRUE(daemons.wait_until_ready(wait_timeout));
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
    for (const auto& it : odd_entries()) {
        daemons.site().put_row("servers", "i-odd-" + it.first, it.second);
    }
    // The next owner reads the whole list with them, and both follow it on.
    const int previous = daemons.owner_index();
    daemons.terminate(previous);
    ASSERT_EQ(daemons.wait_until_ended(previous), 0);
    daemons.start(previous);
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() == 1 - previous; }, wait_timeout));
    daemons.site().set_vms_listed(false);
    daemons.site().set_vms_listed(true);
    ASSERT_TRUE(daemons.wait_until_ready(previous, wait_timeout));
    const std::string job = job_id_text(1);
    ASSERT_EQ(daemons.submit(previous, job, 40).status, ok);
    EXPECT_TRUE(wait_until(
        [&] {
            const auto reply = daemons.call(previous, "GET", "/urgent/" + job);
            return reply.status == ok && reply.body.at("state") == "complete";
        },
        wait_timeout));
    for (int i = 0; i < daemon_count; ++i) {
        EXPECT_FALSE(daemons.exit_status_if_ended(i).has_value()) << i;
    }
    // A job that fits no real VM is refused, whatever another writer says a VM has.
    constexpr int can_never_fit = 429;
    const auto reply = daemons.call(
        previous, "POST", "/urgent/" + job_id_text(2),
        R"({"spec":"x","phases":[{"count":1,"cpu":1000000,"memMb":1,"estimatedMs":1}]})");
    EXPECT_EQ(reply.status, can_never_fit);
}

// The entry of a VM is overwritten for a moment. Its runs go on.
TEST(odd_member_entry, does_not_end_runs_of_vm_with_its_id) {
    platform_site_options options;
    options.task_time = base::milliseconds(1'500);
    fleet_cluster daemons(1, options);
    ASSERT_TRUE(daemons.wait_until_ready(0, wait_timeout));
    const std::string job = job_id_text(1);
    constexpr int tasks = 12;
    ASSERT_EQ(daemons.submit(0, job, tasks).status, ok);
    ASSERT_TRUE(wait_until([&] { return daemons.site().vm_is_busy(1); }, wait_timeout));
    daemons.site().put_row("servers", "i-1", entry_with("/born", "1e300"));
    daemons.site().put_row("servers", "i-1", nested_arrays());
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    daemons.site().set_vm_listed(1, true);
    EXPECT_TRUE(wait_until(
        [&] { return daemons.site().counts_of(fleet::job_id(job)).done == tasks; }, wait_timeout));
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, tasks);
}

}  // namespace
