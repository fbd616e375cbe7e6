// Guards against a task that is started again without a record of what proved that its earlier run
// had ended, and against a run in two places that the owner sees and does not report.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

class restarted_task : public testing::Test {
public:
    restarted_task() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        list(first, 1);
        owner.inherited_runs_reported(now);
        owner.add_job(make_job("job", "urgent", {make_step(1, 1'000)}), nullptr, false, now);
        start = next_start();
        owner.start_answered(first, start.task, start.run, fleet::vm_time(1), now);
        list(second, 1);
    }

    void list(const fleet::vm_id& id, std::int64_t vm_clock) {
        fleet::vm_info facts;
        facts.id = id;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(1'000);
        owner.vm_listed(facts);
        fleet::vm_report out;
        out.now = fleet::vm_time(vm_clock);
        owner.vm_reported(id, out, now.steady, now);
    }

    void pass(int ms) { now.steady += milliseconds(ms); }

    fleet::start_decision next_start() {
        pass(1);
        const auto decided = owner.decide(now, {});
        EXPECT_EQ(decided.starts.size(), 1U);
        return decided.starts.empty() ? fleet::start_decision{} : decided.starts.front();
    }

    // The leases of the first VM, which end at 5,000 on its clock, count as expired.
    fleet::start_decision lapse() {
        fleet::lease_expiry expiry;
        expiry.lease_until = fleet::vm_time(5'000);
        expiry.vm_clock = fleet::vm_time(500);
        expiry.reading_age = milliseconds(5'000);
        expiry.max_stop_time = milliseconds(400);
        owner.vm_lost(first, "lease_lapsed", expiry, now);
        return next_start();
    }

    // The first VM answers again; its clock reads `vm_clock`.
    void report_first(std::int64_t vm_clock, bool is_running) {
        fleet::vm_info facts;
        facts.id = first;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(1'000);
        owner.vm_listed(facts);
        fleet::vm_report report;
        report.now = fleet::vm_time(vm_clock);
        if (is_running) {
            report.running = {{start.task, start.run, {}, 0}};
        } else {
            report.completions = {{fleet::completion_number(1),
                                   start.task,
                                   start.run,
                                   fleet::completion_kind::lease_expired,
                                   {}}};
        }
        owner.vm_reported(first, report, now.steady, now);
    }

    std::uint64_t in_two_places() {
        return metrics.value("cranberrydock_tasks_in_two_places_total", "");
    }

    const fleet::vm_id first{"first"};
    const fleet::vm_id second{"second"};
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    fleet::start_decision start;
};

TEST_F(restarted_task, has_none_at_its_first_start) {
    EXPECT_FALSE(start.previous);
}

TEST_F(restarted_task, names_expired_lease_and_its_inputs) {
    const auto again = lapse();
    ASSERT_TRUE(again.previous);
    EXPECT_EQ(again.previous->vm, first);
    EXPECT_EQ(again.previous->run, start.run);
    EXPECT_EQ(again.previous->proof, fleet::end_proof::lease_expired);
    EXPECT_EQ(again.previous->expiry.lease_until, fleet::vm_time(5'000));
}

TEST_F(restarted_task, names_undelivered_start) {
    owner.vm_restarted(second);  // only the first VM is usable
    owner.add_job(make_job("other", "urgent", {make_step(1, 1)}), nullptr, false, now);
    fleet::vm_report report;
    report.completions = {
        {fleet::completion_number(1), start.task, start.run, fleet::completion_kind::done, {}}};
    owner.vm_reported(first, report, now.steady, now);
    const auto refused = next_start();
    owner.start_answered(first, refused.task, refused.run,
                         tl::make_unexpected(fleet::command_failure::not_delivered), now);
    pass(2'000);
    const auto again = next_start();
    ASSERT_TRUE(again.previous);
    EXPECT_EQ(again.previous->proof, fleet::end_proof::not_delivered);
}

TEST_F(restarted_task, names_run_before_refused_start) {
    const auto refused = lapse();
    owner.start_answered(second, refused.task, refused.run,
                         tl::make_unexpected(fleet::command_failure::no_room), now);
    pass(2'000);
    const auto again = next_start();
    ASSERT_TRUE(again.previous);
    EXPECT_EQ(again.previous->vm, first);
    EXPECT_EQ(again.previous->proof, fleet::end_proof::lease_expired);
}

// The VM's clock read 500 at 5,001 ms before the restart, which was 60 s before the report. Its
// runs had to end at 5,400. At 98 % of the rate of the owner's clock it read 5,400 at the restart.
TEST_F(restarted_task, measures_time_since_its_earlier_run_had_to_end) {
    lapse();
    pass(60'000);
    report_first(500 + 65'001 * 98 / 100, false);
    EXPECT_EQ(in_two_places(), 0U);
    EXPECT_NE(metrics.text().find("cranberrydock_restart_margin_ms_sum 0"), std::string::npos)
        << metrics.text();
}

TEST_F(restarted_task, is_reported_if_started_while_vm_may_stop_its_earlier_run) {
    lapse();
    pass(1'000);
    report_first(500 + 5'001 - 200 + 1'000, false);
    EXPECT_EQ(in_two_places(), 1U);
}

TEST_F(restarted_task, is_reported_if_undelivered_start_was_carried_out) {
    owner.add_job(make_job("other", "urgent", {make_step(1, 1)}), nullptr, false, now);
    const auto other = next_start();
    owner.start_answered(other.vm, other.task, other.run,
                         tl::make_unexpected(fleet::command_failure::not_delivered), now);
    pass(2'000);
    EXPECT_EQ(next_start().task, other.task);
    fleet::vm_report report;
    report.completions = {{fleet::completion_number(1),
                           other.task,
                           other.run,
                           fleet::completion_kind::lease_expired,
                           {}}};
    owner.vm_reported(other.vm, report, now.steady, now);
    EXPECT_EQ(in_two_places(), 1U);
}

TEST_F(restarted_task, is_reported_if_earlier_run_goes_on) {
    lapse();
    pass(1'000);
    report_first(6'300, true);
    EXPECT_EQ(in_two_places(), 1U);
}

// A run of a previous owner on a VM that was silent until its leases had expired.
TEST_F(restarted_task, measures_time_since_end_of_inherited_leases) {
    base::metrics measured;
    fleet::scheduler next{fleet::fencing_token(2), {}, measured};
    next.configure(std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
    next.add_job(make_job("job", "urgent", {make_step(1, 1'000)}), nullptr, true, now);
    fleet::vm_info facts;
    facts.service = fleet::service_name("svc");
    facts.capacity = vm_capacity_of(1'000);
    for (const auto& it : {first, second}) {
        facts.id = it;
        next.vm_listed(facts);
    }
    next.vm_reported(second, {}, now.steady, now);
    const auto latest_run_end = now.steady;
    pass(400);
    next.inherited_runs_reported(now, latest_run_end);
    ASSERT_EQ(next.decide(now, {}).starts.size(), 1U);
    fleet::vm_report report;
    report.completions = {{fleet::completion_number(1),
                           start.task,
                           start.run,
                           fleet::completion_kind::lease_expired,
                           {}}};
    pass(100);
    next.vm_reported(first, report, now.steady, now);
    EXPECT_NE(measured.text().find("cranberrydock_restart_margin_ms_sum 400"), std::string::npos)
        << measured.text();
}

}  // namespace
