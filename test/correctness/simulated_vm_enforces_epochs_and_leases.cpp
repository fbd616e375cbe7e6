// The answers of the simulated VM, one situation per test: fencing, a lease that expires while the
// VM is suspended, start commands that are repeated or overtaken by their stop, a VM that was
// replaced, and a VM that is leaving.
#include "standins/run_checker.hpp"
#include "standins/vm_agent.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;

constexpr base::milliseconds lease{1'000};

class simulated_vm : public ::testing::Test {
protected:
    vm_reply send(std::int64_t epoch, vm_command_body body) {
        std::optional<vm_reply> out;
        agent_.handle({base::cell_id("c"), base::epoch(epoch), std::move(body)}, clock_.now(),
                      [&out](const vm_reply& reply) { out = reply; });
        return out.value();
    }

    start_command start(const std::string& attempt, const std::string& payload = "") {
        start_command out;
        out.incarnation = agent_.incarnation();
        out.attempt = base::attempt_id(attempt);
        out.task = base::task_id("task-" + attempt);
        out.reserve = {base::millicores(1'000), base::mebibytes(600), {}, base::slot_count(1)};
        const auto now = send(0, hello_command{}).report.now;
        out.lease_until = vm_time(now.value() + base::duration(lease).count());
        out.payload = payload;
        return out;
    }

    void pass(base::milliseconds time) {
        clock_.advance(time);
        agent_.advance(clock_.now());
    }

    task_completion end_of(const std::string& attempt) {
        for (const auto& it : send(owner_epoch, hello_command{}).report.finished) {
            if (it.attempt == base::attempt_id(attempt)) {
                return it.completion;
            }
        }
        ADD_FAILURE() << "expected " << attempt << " to have finished";
        return task_completion::failed;
    }

    static constexpr std::int64_t owner_epoch = 5;
    base::manual_clock clock_;
    standins::run_checker checker_;
    standins::vm_agent agent_{
        {base::vm_id("vm"),
         {base::millicores(16'000), base::mebibytes(1'000), {}, base::slot_count(16)},
         {}},
        checker_,
        clock_.now()};
};

TEST_F(simulated_vm, higher_epoch_ends_watch_of_lower_epoch) {
    std::optional<vm_reply> watch_reply;
    watch_command watch;
    watch.incarnation = agent_.incarnation();
    watch.after = send(1, hello_command{}).report.number;
    watch.wait = lease;
    agent_.handle({base::cell_id("c"), base::epoch(1), watch}, clock_.now(),
                  [&](const vm_reply& reply) { watch_reply = reply; });
    EXPECT_FALSE(watch_reply);
    auto late_start = start("a");
    send(2, hello_command{});
    ASSERT_TRUE(watch_reply);
    EXPECT_EQ(watch_reply->verdict, vm_verdict::lower_epoch);
    const auto refused = send(1, late_start);
    EXPECT_EQ(refused.verdict, vm_verdict::lower_epoch);
    EXPECT_TRUE(refused.report.running.empty());
}

TEST_F(simulated_vm, stops_expired_runs_when_resumed) {
    send(owner_epoch, start("a", R"({"for_ms":100})"));
    agent_.suspend(clock_.now());
    clock_.advance(2 * lease);
    agent_.resume(clock_.now());
    EXPECT_EQ(end_of("a"), task_completion::lease_expired);
    EXPECT_EQ(checker_.total(), 0) << checker_.json();
}

TEST_F(simulated_vm, completion_within_lease_counts_when_reported_late) {
    send(owner_epoch, start("a", R"({"for_ms":100})"));
    send(owner_epoch, start("b", R"({"for_ms":-1})"));
    pass(2 * lease);
    EXPECT_EQ(end_of("a"), task_completion::completed);
}

TEST_F(simulated_vm, repeated_start_runs_once) {
    const auto a = start("a", R"({"for_ms":10})");
    send(owner_epoch, a);
    EXPECT_EQ(send(owner_epoch, a).report.running.size(), 1U);
    pass(base::milliseconds{20});
    watch_command acknowledge;
    acknowledge.incarnation = agent_.incarnation();
    acknowledge.acknowledge = {a.attempt};
    EXPECT_TRUE(send(owner_epoch, acknowledge).report.finished.empty());
    EXPECT_TRUE(send(owner_epoch, a).report.running.empty());
    EXPECT_EQ(checker_.starts(), 1);
}

TEST_F(simulated_vm, stop_before_start_prevents_run) {
    const auto a = start("a");
    send(owner_epoch, stop_command{agent_.incarnation(), a.attempt});
    EXPECT_EQ(send(owner_epoch, a).verdict, vm_verdict::done);
    EXPECT_EQ(end_of("a"), task_completion::stopped);
    EXPECT_EQ(checker_.starts(), 0);
}

TEST_F(simulated_vm, refuses_oversized_late_or_outdated_starts) {
    const auto late_start = start("late");
    const auto outdated_start = start("before");
    send(owner_epoch, start("a", R"({"for_ms":-1})"));
    EXPECT_EQ(send(owner_epoch, start("b")).verdict, vm_verdict::does_not_fit);
    pass(lease);
    EXPECT_EQ(send(owner_epoch, late_start).verdict, vm_verdict::lease_passed);
    agent_.replace(clock_.now());
    EXPECT_EQ(send(owner_epoch, outdated_start).verdict, vm_verdict::other_incarnation);
    agent_.set_leaving(clock_.now());
    EXPECT_EQ(send(owner_epoch, start("c")).verdict, vm_verdict::leaving);
    EXPECT_EQ(checker_.starts(), 1);
}

// Other tests rely on the checker, so it must detect each kind of breach.
TEST(run_checker, counts_each_broken_promise) {
    standins::run_checker checker;
    const base::time_point now{};
    standins::checked_run run;
    run.vm = base::vm_id("vm-1");
    run.incarnation = base::incarnation_id("i1");
    run.attempt = base::attempt_id("a1");
    run.task = base::task_id("t1");
    run.epoch = base::epoch(2);
    run.repeatable = false;
    run.lease_until = now + lease;
    checker.run_started(run, now);
    EXPECT_EQ(checker.total(), 0);
    run.vm = base::vm_id("vm-2");
    run.attempt = base::attempt_id("a2");
    run.epoch = base::epoch(1);
    run.reserved.memory = base::mebibytes(1);
    checker.run_started(run, now);
    checker.run_ended(run, now + 2 * lease);
    for (const auto it :
         {standins::violation::overcommitted, standins::violation::task_in_two_places,
          standins::violation::repeated_run, standins::violation::start_on_lower_epoch,
          standins::violation::run_without_lease}) {
        EXPECT_EQ(checker.count(it), 1) << to_string(it);
    }
    EXPECT_EQ(checker.evidence().size(), 5U);
}

}  // namespace
