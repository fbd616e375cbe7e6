// Each broken promise is reported once, with its evidence. A situation that only resembles a breach
// is not reported.
#include <cranberrydock/cell/promise_monitor.hpp>

#include <gtest/gtest.h>

using namespace cranberrydock;
using base::slot_count;

namespace {

base::time_point at(int milliseconds) {
    return base::time_point(base::milliseconds(milliseconds));
}

base::resources slots(int n) {
    base::resources result;
    result.slots = slot_count(n);
    return result;
}

platform::running_task running(const std::string& task, const std::string& attempt) {
    platform::running_task result;
    result.task = base::task_id(task);
    result.attempt = base::attempt_id(attempt);
    result.reserved = slots(1);
    return result;
}

// A report of a VM with two slots.
cell::observed_report report(const std::string& vm, int number, int asked, int received,
                             std::vector<platform::running_task> tasks) {
    cell::observed_report result;
    result.vm = base::vm_id(vm);
    result.report.incarnation = base::incarnation_id(vm + "/1");
    result.report.number = platform::report_number(number);
    result.report.capacity = slots(2);
    result.report.running = std::move(tasks);
    result.sent = at(asked);
    result.received = at(received);
    return result;
}

std::string names(const std::vector<cell::broken_promise>& found) {
    std::string result;
    for (const auto& it : found) {
        EXPECT_FALSE(it.evidence.empty());
        result += it.promise + " ";
    }
    return result;
}

}  // namespace

TEST(promise_monitor, start_beyond_capacity_is_reported_once) {
    cell::promise_monitor watch;
    const auto full = {running("a", "1"), running("b", "2"), running("c", "3")};
    EXPECT_EQ(names(watch.observe(report("v", 1, 0, 10, full))), "vm_overcommitted ");
    EXPECT_EQ(names(watch.observe(report("v", 2, 20, 30, full))), "");
}

TEST(promise_monitor, shrunk_capacity_is_no_breach) {
    cell::promise_monitor watch;
    const auto both = {running("a", "1"), running("b", "2")};
    EXPECT_EQ(names(watch.observe(report("v", 1, 0, 10, both))), "");
    auto shrunk = report("v", 2, 20, 30, both);
    shrunk.report.capacity = slots(1);
    EXPECT_EQ(names(watch.observe(shrunk)), "");
}

TEST(promise_monitor, task_on_two_vms_is_reported) {
    cell::promise_monitor watch;
    EXPECT_EQ(names(watch.observe(report("v", 1, 0, 10, {running("a", "1")}))), "");
    EXPECT_EQ(names(watch.observe(report("w", 1, 20, 30, {running("a", "2")}))), "");
    const auto found = watch.observe(report("v", 2, 40, 50, {running("a", "1")}));
    EXPECT_EQ(names(found), "task_in_two_places ");
    EXPECT_NE(found.front().evidence.find("on w as 2"), std::string::npos);
}

TEST(promise_monitor, task_twice_on_one_vm_is_reported) {
    cell::promise_monitor watch;
    const auto twice = {running("a", "1"), running("a", "2")};
    EXPECT_EQ(names(watch.observe(report("v", 1, 0, 10, twice))),
              "task_in_two_places task_in_two_places ");
}

TEST(promise_monitor, task_move_with_late_reports_is_no_breach) {
    cell::promise_monitor watch;
    // VM v becomes unresponsive, its lease expires and VM w runs the task. Then v reports again.
    watch.observe(report("v", 1, 0, 10, {running("a", "1")}));
    EXPECT_EQ(names(watch.observe(report("w", 1, 5'000, 5'010, {running("a", "2")}))), "");
    EXPECT_EQ(names(watch.observe(report("v", 2, 5'020, 5'030, {}))), "");
    EXPECT_EQ(names(watch.observe(report("w", 2, 5'040, 5'050, {running("a", "2")}))), "");
    // A report of v that arrives long after it was made, and one that a later report has overtaken.
    watch.observe(report("v", 4, 5'060, 9'000, {running("b", "3")}));
    EXPECT_EQ(names(watch.observe(report("x", 1, 8'000, 8'010, {running("b", "4")}))), "");
    EXPECT_EQ(names(watch.observe(report("x", 2, 9'010, 9'020, {running("b", "4")}))), "");
    EXPECT_EQ(names(watch.observe(report("v", 3, 5'050, 9'030, {running("b", "3")}))), "");
}

TEST(promise_monitor, lasting_team_limit_excess_is_reported) {
    cell::promise_monitor watch;
    const auto usage = [](int n, int limit) {
        return cell::observed_usage{base::team_id("t"), slot_count(n), slot_count(limit)};
    };
    EXPECT_EQ(names(watch.observe(usage(8, 10), at(0))), "");
    EXPECT_EQ(names(watch.observe(usage(11, 10), at(1'000))), "");  // reported at different times
    EXPECT_EQ(names(watch.observe(usage(10, 10), at(3'000))), "");
    EXPECT_EQ(names(watch.observe(usage(8, 6), at(4'000))), "");  // the limit was lowered
    EXPECT_EQ(names(watch.observe(usage(8, 6), at(60'000))), "");
    EXPECT_EQ(names(watch.observe(usage(7, 6), at(61'000))), "");
    EXPECT_EQ(names(watch.observe(usage(8, 6), at(62'000))), "");  // grows above the limit
    EXPECT_EQ(names(watch.observe(usage(8, 6), at(67'000))), "team_over_limit ");
    EXPECT_EQ(names(watch.observe(usage(8, 6), at(68'000))), "");
}

TEST(promise_monitor, late_key_use_and_older_version_are_reported) {
    cell::promise_monitor watch;
    const base::daemon_id daemon("d");
    cell::observed_key_use use{base::key_id("k"), daemon, at(3'000), at(0)};
    EXPECT_EQ(names(watch.observe(use)), "");
    use.taken = at(9'000);
    EXPECT_EQ(names(watch.observe(use)), "withdrawn_key_used ");
    EXPECT_EQ(names(watch.observe(daemon, base::config_version(4))), "");
    EXPECT_EQ(names(watch.observe(daemon, base::config_version(4))), "");
    EXPECT_EQ(names(watch.observe(daemon, base::config_version(3))), "version_went_back ");
    EXPECT_EQ(names(watch.observe(base::daemon_id("e"), base::config_version(1))), "");
}
