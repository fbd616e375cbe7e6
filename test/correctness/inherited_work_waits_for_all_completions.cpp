// A VM lists its completions 500 at a time. A new owner must not take a run that such a report
// does not show for one that never completed: it would run a done task again. Only inherited work
// waits, for one report of the VM with the most completions for each 500 of them.
#include <cranberrydock/fleet/inherited_vms.hpp>
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"
#include "standins/fleet_vm.hpp"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

constexpr std::int64_t vm_cores = 32'000;
constexpr fleet::fencing_token second_owner{2};

bool no_own_leases(const fleet::vm_id& /*vm*/) {
    return true;
}

// A VM on which a previous owner has started all tasks of "job", and a new owner.
class partly_listed_vm : public testing::Test {
public:
    partly_listed_vm() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        owner.vm_listed(vm.facts());
        inherited.record_read(std::nullopt);
        inherited.listed(vm.facts(), now.steady);
        inherited.members_read();
    }

    static fleet::vm_info facts(bool leaving = false) {
        fleet::vm_info out;
        out.id = fleet::vm_id("vm");
        out.address = "a:1";
        out.service = fleet::service_name("svc");
        out.capacity = vm_capacity_of(vm_cores);
        out.boot = fleet::boot_time(1);
        out.leaving = leaving;
        return out;
    }

    static fleet::task_ref task(int index) { return {fleet::job_id("job"), 0, 0, index}; }

    void run_on_vm(int tasks) {
        for (int i = 0; i < tasks; ++i) {
            fleet::start_command command;
            command.task = task(i);
            command.run = fleet::run_number(1);
            command.lease_until = fleet::vm_time(1'000'000);
            ASSERT_TRUE(vm.start(fleet::fencing_token(1), command));
        }
        vm.advance(milliseconds(100));
    }

    void pass(milliseconds time) {
        now.steady += time;
        now.wall = fleet::unix_time(now.wall.value() + time.count());
    }

    // One watch command: acknowledges what is saved and receives a report.
    fleet::vm_report watch() {
        pass(milliseconds(20));
        fleet::watch_command command;
        command.acknowledged = owner.acknowledgeable_completion(vm.facts().id);
        auto report = *vm.watch(second_owner, command);
        inherited.reported(vm.facts().id, now.steady, report.lists_all_completions());
        owner.vm_reported(vm.facts().id, report, now.steady, now);
        return report;
    }

    bool runs_known() { return inherited.runs_known(now.steady, now.steady, no_own_leases); }

    fleet_vm vm{facts(), [](const fleet::task_ref&, fleet::run_number) {
                    task_behavior out;
                    out.run_time = milliseconds(50);
                    return out;
                }};
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{second_owner, {}, metrics};
    fleet::inherited_leases leases{{}, now.steady, milliseconds(6'500)};
    fleet::inherited_vms inherited{{1, digest(), {}}, leases, now.steady};

private:
    static fleet::vm_set_digest digest() {
        fleet::vm_set_digest out;
        out.add(fleet::vm_id("vm"));
        return out;
    }
};

class list_of_any_length : public partly_listed_vm, public testing::WithParamInterface<int> {};

TEST_P(list_of_any_length, delays_inherited_tasks_only_until_its_list_is_read) {
    const int tasks = GetParam();
    // One task more than the VM has run.
    owner.add_job(make_job("job", "urgent", {make_step(tasks + 1, 10)}), nullptr, true, now);
    run_on_vm(tasks);
    constexpr int listed_at_once = static_cast<int>(fleet::max_listed_completions);
    int reports = 0;
    while (!runs_known()) {
        EXPECT_TRUE(owner.decide(now, {}).starts.empty());
        watch();
        ++reports;
        save_progress(owner, now);
        ASSERT_LE(reports, tasks / listed_at_once + 1);
    }
    EXPECT_EQ(inherited.ended_by(), fleet::wait_ended_by::reports);
    owner.inherited_runs_reported(now);
    const auto starts = owner.decide(now, {}).starts;
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task, task(tasks));
}

INSTANTIATE_TEST_SUITE_P(completions, list_of_any_length,
                         testing::Values(0, 1, 499, 500, 501, 999, 1'000, 2'600));

TEST_F(partly_listed_vm, does_not_delay_new_work) {
    owner.add_job(make_job("job", "urgent", {make_step(1'201, 10)}), nullptr, true, now);
    run_on_vm(1'200);
    watch();
    owner.add_job(make_job("new", "urgent", {make_step(1, 1'000)}), nullptr, false, now);
    const auto starts = owner.decide(now, {}).starts;
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, fleet::job_id("new"));
    EXPECT_FALSE(runs_known());
    EXPECT_TRUE(inherited.starts_ended(now.steady)) << "the VM has received the fencing token";
}

// A VM that stops answering before it has listed everything delays inherited work no longer than a
// VM that never answered.
TEST_F(partly_listed_vm, does_not_delay_work_beyond_leases) {
    owner.add_job(make_job("job", "urgent", {make_step(1'201, 10)}), nullptr, true, now);
    run_on_vm(1'200);
    watch();
    pass(milliseconds(6'500 + 5'200));
    EXPECT_FALSE(runs_known());
    inherited.unresponsive(vm.facts().id);
    inherited.report_outdated(vm.facts().id);
    EXPECT_TRUE(runs_known());
    EXPECT_EQ(inherited.ended_by(), fleet::wait_ended_by::expiry);
}

// The next owner would not wait for a VM that is off the record.
TEST_F(partly_listed_vm, that_leaves_stays_on_record_until_its_completions_are_saved) {
    owner.vm_listed(facts(true));
    owner.add_job(make_job("job", "urgent", {make_step(700, 10)}), nullptr, true, now);
    run_on_vm(700);
    for (int i = 0; i < 2; ++i) {
        watch();
        EXPECT_FALSE(owner.is_drained(vm.facts().id));
        save_progress(owner, now);
    }
    watch();
    EXPECT_TRUE(owner.is_drained(vm.facts().id));
}

// Runs that had ended when their VM crashed do not explain the crash.
TEST_F(partly_listed_vm, is_not_crashed_by_runs_that_had_ended) {
    owner.inherited_runs_reported(now);
    pass(fleet::unexplained_crashes::window);
    watch();
    constexpr int ended = 600;
    owner.add_job(make_job("job", "urgent", {make_step(ended + 1, 10)}), nullptr, false, now);
    int started = 0;
    while (started <= ended) {
        const auto starts = owner.decide(now, {}).starts;
        ASSERT_FALSE(starts.empty());
        for (const auto& it : starts) {
            owner.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
            ++started;
        }
    }
    fleet::vm_report report;
    report.boot = fleet::boot_time(1);
    for (int i = 0; i <= ended; ++i) {
        if (i < static_cast<int>(fleet::max_listed_completions)) {
            report.completions.push_back({fleet::completion_number(i + 1),
                                          task(i),
                                          fleet::run_number(1),
                                          fleet::completion_kind::done,
                                          {}});
        }
    }
    report.running.push_back({task(ended), fleet::run_number(1), {}, 0});
    pass(milliseconds(20));
    owner.vm_reported(vm.facts().id, report, now.steady, now);
    owner.vm_reachable(vm.facts().id, false);
    owner.vm_process_ended(vm.facts().id);
    const auto saved = owner.take_unsaved_jobs(now);
    ASSERT_EQ(saved.size(), 1U);
    const auto crashes_of = [&](int index) {
        const auto block = saved[0].progress.blocks.find(fleet::block_of(task(index)));
        return block == saved[0].progress.blocks.end()
                   ? fleet::crash_evidence{}
                   : block->second.crashes.at(
                         static_cast<std::size_t>(index % fleet::tasks_per_block));
    };
    EXPECT_EQ(crashes_of(ended).crashes, 1);
    EXPECT_EQ(crashes_of(ended).alone, 1);
    EXPECT_EQ(crashes_of(ended - 1).crashes, 0);
}

}  // namespace
