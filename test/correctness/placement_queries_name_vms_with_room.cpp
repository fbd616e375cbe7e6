// Placement queries name VMs on which the waiting tasks of a step can start now, whatever the step
// was granted before, and are also sent for jobs whose queue has been removed.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr std::int64_t vm_cores = 8'000;
constexpr base::milliseconds ticket_lifetime{2'500};
constexpr base::milliseconds query_time{100};

// The advisor grants all VMs.
class query_test : public ::testing::Test {
protected:
    query_test() {
        configure({"urgent", "batch"});
        scheduler_.inherited_runs_reported(now());
    }

    fleet::clock_reading now() const { return {time_, fleet::unix_time(1'700'000'000'000)}; }

    void configure(const std::set<std::string>& queues) {
        auto configuration = two_queue_configuration();
        auto& all = configuration.queues;
        all.erase(std::remove_if(all.begin(), all.end(),
                                 [&](const auto& it) { return queues.count(it.name.str()) == 0; }),
                  all.end());
        for (auto& it : all) {
            it.query_cost = fleet::placement_query_cost{base::milliseconds(40),
                                                        base::microseconds(1'000), ticket_lifetime};
        }
        scheduler_.configure(
            std::make_shared<const fleet::fleet_configuration>(std::move(configuration)));
    }

    static fleet::vm_info vm(int number, std::int64_t boot = 1) {
        fleet::vm_info out;
        out.id = fleet::vm_id("vm-" + std::to_string(number));
        out.service = fleet::service_name("svc");
        out.capacity = vm_capacity_of(vm_cores);
        out.boot = fleet::boot_time(boot);
        return out;
    }

    void add_vms(int first, int end) {
        for (int i = first; i < end; ++i) {
            scheduler_.vm_listed(vm(i));
            scheduler_.vm_reported(vm(i).id, {}, time_, now());
        }
    }

    // Makes decisions until `time` has passed. Starts with a ticket succeed.
    void run_for(base::milliseconds time) {
        for (const auto end = time_ + time; time_ < end; time_ += query_time) {
            const auto decided = scheduler_.decide(now(), {8, 8});
            for (const auto& it : decided.starts) {
                if (it.ticket.empty()) {
                    ++starts_without_ticket_;
                    scheduler_.start_answered(
                        it.vm, it.task, it.run,
                        tl::make_unexpected(fleet::command_failure::ticket_invalid), now());
                    continue;
                }
                started_on_[it.task.index] = it.vm;
                last_run_[it.task.index] = it.run;
                scheduler_.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now());
            }
            for (const auto& it : decided.queries) {
                fleet::placement_response answer;
                answer.ticket_lifetime = ticket_lifetime;
                for (const auto& vm : it.vms) {
                    if (denied_.count(vm) == 0) {
                        answer.grants.push_back({vm, fleet::placement_ticket("ticket")});
                    }
                }
                scheduler_.query_answered(it, answer, now());
            }
        }
    }

    // The VM lists the end of the task's last run.
    void fail(int index) {
        fleet::vm_report report;
        report.completions.push_back({fleet::completion_number(1),
                                      {fleet::job_id("job"), 0, 0, index},
                                      last_run_.at(index),
                                      fleet::completion_kind::failed,
                                      {}});
        const auto vm = started_on_.at(index);
        started_on_.erase(index);
        scheduler_.vm_reported(vm, report, time_ - base::seconds(1), now());
    }

    base::metrics metrics_;
    base::time_point time_{base::seconds(100)};
    fleet::scheduler scheduler_{fleet::fencing_token(1), {}, metrics_};
    std::set<fleet::vm_id> denied_;  // by the advisor
    int starts_without_ticket_ = 0;
    std::map<int, fleet::vm_id> started_on_;  // by the task's index
    std::map<int, fleet::run_number> last_run_;
};

// The VMs that ran the step's other tasks were named again whenever their tickets had expired.
TEST_F(query_test, failed_task_starts_again_if_other_tasks_hold_most_granted_vms) {
    auto step = make_step(50, 400);
    step.max_per_vm = 1;
    add_vms(0, 51);
    scheduler_.add_job(make_job("job", "batch", {step}), nullptr, false, now());
    run_for(base::seconds(3));
    ASSERT_EQ(started_on_.size(), 50U);
    // The free VM and the one whose task fails are lost, and empty ones are added.
    run_for(2 * ticket_lifetime);
    const auto vm_of_failed = started_on_.at(49);
    fail(49);
    for (int i = 0; i < 51; ++i) {
        const auto id = vm(i).id;
        bool is_used = false;
        for (const auto& it : started_on_) {
            is_used = is_used || it.second == id;
        }
        if (!is_used) {
            scheduler_.vm_lost(id, "test", {}, now());
        }
    }
    add_vms(60, 160);
    run_for(base::seconds(10));
    EXPECT_EQ(started_on_.count(49), 1U);
}

// Full VMs whose tickets had expired were named before empty ones, 100 in each query.
TEST_F(query_test, wide_step_starts_on_empty_vms_if_granted_vms_are_full) {
    constexpr int vms = 1'000;
    add_vms(0, vms);
    scheduler_.add_job(make_job("job", "urgent", {make_step(vms, vm_cores)}), nullptr, false,
                       now());
    run_for(base::seconds(10));
    EXPECT_EQ(started_on_.size(), std::size_t{vms});
}

// Tasks were started without a ticket, and rejected, in each decision.
TEST_F(query_test, job_of_removed_queue_starts_with_ticket) {
    add_vms(0, 3);
    scheduler_.add_job(make_job("job", "batch", {make_step(1, 1'000)}), nullptr, false, now());
    configure({"urgent"});
    run_for(base::seconds(3));
    EXPECT_EQ(started_on_.size(), 1U);
    EXPECT_EQ(starts_without_ticket_, 0);
}

TEST_F(query_test, job_of_queue_that_owner_never_knew_starts_with_ticket) {
    add_vms(0, 3);
    configure({"urgent"});
    scheduler_.add_job(make_job("job", "batch", {make_step(1, 1'000)}), nullptr, true, now());
    run_for(base::seconds(3));
    EXPECT_EQ(started_on_.size(), 1U);
    EXPECT_EQ(starts_without_ticket_, 1);
}

TEST_F(query_test, next_incarnation_of_denied_vm_is_queried) {
    add_vms(0, 1);
    denied_.insert(vm(0).id);
    scheduler_.add_job(make_job("job", "batch", {make_step(1, 1'000)}), nullptr, false, now());
    run_for(base::seconds(1));
    ASSERT_EQ(started_on_.size(), 0U);
    denied_.clear();
    scheduler_.vm_listed(vm(0, 2));
    scheduler_.vm_restarted(vm(0).id);
    scheduler_.vm_reported(vm(0).id, {}, time_, now());
    run_for(base::seconds(3));
    EXPECT_EQ(started_on_.size(), 1U);
}

// The tickets of an earlier incarnation kept the next one from being queried until they expired.
TEST_F(query_test, next_incarnation_of_granted_vm_is_queried_at_once) {
    add_vms(0, 1);
    scheduler_.add_job(make_job("job", "batch", {make_step(2, vm_cores)}), nullptr, false, now());
    run_for(base::milliseconds(500));
    ASSERT_EQ(started_on_.size(), 1U);
    started_on_.clear();
    scheduler_.vm_process_ended(vm(0).id);
    scheduler_.vm_listed(vm(0, 2));
    scheduler_.vm_restarted(vm(0).id);
    scheduler_.vm_reported(vm(0).id, {}, time_, now());
    run_for(base::milliseconds(700));
    EXPECT_EQ(started_on_.size(), 1U);
}

}  // namespace
