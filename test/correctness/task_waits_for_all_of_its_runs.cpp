// Guards against a task that runs in two places (TWICE): after changes of owner, several VMs may
// list runs of one task, and it is started again only after all of them have ended.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

class runs_of_one_task : public testing::Test {
public:
    runs_of_one_task() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        for (const auto& it : {first, second, third}) {
            fleet::vm_info facts;
            facts.id = it;
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(4'000);
            owner.vm_listed(facts);
        }
        owner.vm_reported(third, {}, now.steady, now);
        owner.inherited_runs_reported(now);
    }

    void pass(int ms) { now.steady += milliseconds(ms); }

    void add_job(bool gang = false) {
        auto step = make_step(gang ? 2 : 1, 1'000);
        step.gang = gang;
        owner.add_job(make_job("job", "urgent", {step}), nullptr, true, now);
    }

    void list_run(const fleet::vm_id& vm, const fleet::task_ref& task, int run) {
        fleet::vm_report report;
        report.running.push_back({task, fleet::run_number(run), {}, 0});
        owner.vm_reported(vm, report, now.steady, now);
    }

    void list_end(const fleet::vm_id& vm, int run, fleet::completion_kind kind) {
        fleet::vm_report report;
        report.completions.push_back(
            {fleet::completion_number(1), task, fleet::run_number(run), kind, {}});
        owner.vm_reported(vm, report, now.steady, now);
    }

    std::size_t starts() {
        pass(1);
        return owner.decide(now, {}).starts.size();
    }

    const fleet::vm_id first{"first"};
    const fleet::vm_id second{"second"};
    const fleet::vm_id third{"third"};
    const fleet::task_ref task{fleet::job_id("job"), 0, 0, 0};
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(2), {}, metrics};
};

TEST_F(runs_of_one_task, found_before_their_job_all_hold_it_back) {
    list_run(first, task, 1);
    list_run(second, task, 2);
    add_job();
    EXPECT_EQ(starts(), 0U);
    list_end(second, 2, fleet::completion_kind::stopped);
    EXPECT_EQ(starts(), 0U);
    list_end(first, 1, fleet::completion_kind::stopped);
    EXPECT_EQ(starts(), 1U);
}

TEST_F(runs_of_one_task, found_before_their_job_hold_it_back_in_any_order) {
    list_run(first, task, 1);
    list_run(second, task, 2);
    add_job();
    list_end(first, 1, fleet::completion_kind::stopped);
    EXPECT_EQ(starts(), 0U);
    list_end(second, 2, fleet::completion_kind::stopped);
    EXPECT_EQ(starts(), 1U);
}

TEST_F(runs_of_one_task, unwanted_run_holds_task_back_after_wanted_one_has_failed) {
    add_job();
    list_run(first, task, 1);
    list_run(second, task, 2);
    list_end(first, 1, fleet::completion_kind::failed);
    EXPECT_EQ(starts(), 0U);
    list_end(second, 2, fleet::completion_kind::stopped);
    EXPECT_EQ(starts(), 1U);
}

TEST_F(runs_of_one_task, run_on_lost_vm_leaves_the_others_on_record) {
    add_job();
    list_run(first, task, 1);
    list_run(second, task, 2);
    owner.vm_lost(first, "lease_lapsed", {}, now);
    EXPECT_EQ(starts(), 0U);
    owner.vm_lost(second, "lease_lapsed", {}, now);
    EXPECT_EQ(starts(), 1U);
}

TEST_F(runs_of_one_task, unwanted_member_holds_gang_back) {
    add_job(true);
    list_run(first, task, 1);
    list_run(second, task, 2);
    list_end(first, 1, fleet::completion_kind::gang_broken);
    EXPECT_EQ(starts(), 0U);
    list_end(second, 2, fleet::completion_kind::stopped);
    EXPECT_EQ(starts(), 2U);
}

TEST_F(runs_of_one_task, listed_run_behind_unanswered_start_on_same_vm_holds_task_back) {
    owner.vm_reported(first, {}, now.steady, now);
    owner.vm_lost(third, "left", {}, now);
    add_job();
    pass(1);
    const auto decided = owner.decide(now, {}).starts;
    ASSERT_EQ(decided.size(), 1U);
    list_run(first, task, 1);
    owner.start_answered(first, task, decided[0].run,
                         tl::make_unexpected(fleet::command_failure::superseded), now);
    EXPECT_EQ(starts(), 0U);
    list_end(first, 1, fleet::completion_kind::failed);
    EXPECT_EQ(starts(), 1U);
}

TEST_F(runs_of_one_task, listed_run_in_place_of_confirmed_one_holds_task_back) {
    owner.vm_reported(first, {}, now.steady, now);
    owner.vm_lost(third, "left", {}, now);
    add_job();
    pass(1);
    const auto decided = owner.decide(now, {}).starts;
    ASSERT_EQ(decided.size(), 1U);
    owner.start_answered(first, task, decided[0].run, fleet::vm_time(1), now);
    pass(1);
    list_run(first, task, 1);
    EXPECT_EQ(starts(), 0U);
}

// A repeat could start the task beside the run that was found meanwhile.
TEST_F(runs_of_one_task, unanswered_start_is_not_repeated_beside_found_run) {
    add_job();
    pass(1);
    const auto decided = owner.decide(now, {}).starts;
    ASSERT_EQ(decided.size(), 1U);
    list_run(first, task, 1);
    owner.start_answered(third, task, decided[0].run,
                         tl::make_unexpected(fleet::command_failure::answer_lost), now);
    pass(1);
    const auto next = owner.decide(now, {});
    EXPECT_EQ(next.starts.size(), 0U);
    EXPECT_EQ(next.stops.size(), 2U);
}

}  // namespace
