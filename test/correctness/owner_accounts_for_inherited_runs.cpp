// What an owner inherits on VMs and in the store: a run of an unknown job occupies its VM until it
// has ended, and a job that has ended is not started again when an older read of the store still
// lists it.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class inherited_runs : public testing::Test {
public:
    inherited_runs() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        fleet::vm_info facts;
        facts.id = vm;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        owner.vm_listed(facts);
        owner.inherited_runs_reported(now);
    }

    void pass(int ms) {
        now.steady += base::milliseconds(ms);
        now.wall = fleet::unix_time(now.wall.value() + ms);
    }

    void save() {
        for (const auto& it : owner.take_unsaved_jobs(now)) {
            owner.progress_saved(it.job, it.change);
        }
    }

    const fleet::vm_id vm{"vm"};
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    fleet::job_spec job = make_job("job", "urgent", {make_step(1, 1'000)});
};

TEST_F(inherited_runs, run_of_unknown_job_blocks_its_vm) {
    fleet::vm_report inherited;
    inherited.running.push_back({{fleet::job_id("unknown"), 0, 0, 0}, fleet::run_number(1), {}, 0});
    owner.vm_reported(vm, inherited, now.steady, now);
    owner.add_job(job, nullptr, false, now);
    const auto first = owner.decide(now, {1, 1});
    EXPECT_TRUE(first.starts.empty());
    ASSERT_EQ(first.stops.size(), 1U);
    EXPECT_EQ(first.stops[0].task.job, fleet::job_id("unknown"));

    pass(100);
    fleet::vm_report ended;
    ended.completions.push_back({fleet::completion_number(1),
                                 {fleet::job_id("unknown"), 0, 0, 0},
                                 fleet::run_number(1),
                                 fleet::completion_kind::stopped,
                                 {}});
    owner.vm_reported(vm, ended, now.steady, now);
    EXPECT_EQ(owner.decide(now, {1, 1}).starts.size(), 1U);
}

TEST_F(inherited_runs, ended_job_is_not_restarted) {
    owner.vm_reported(vm, {}, now.steady, now);
    owner.add_job(job, nullptr, false, now);
    const auto started = owner.decide(now, {1, 1}).starts;
    ASSERT_EQ(started.size(), 1U);
    owner.start_answered(vm, started[0].task, started[0].run, fleet::vm_time(1), now);
    pass(100);
    fleet::vm_report done;
    done.completions.push_back({fleet::completion_number(1),
                                started[0].task,
                                started[0].run,
                                fleet::completion_kind::done,
                                {}});
    owner.vm_reported(vm, done, now.steady, now);
    save();
    owner.decide(now, {1, 1});
    EXPECT_EQ(owner.job_count(), 0U);

    owner.add_job(job, nullptr, false, now);
    EXPECT_TRUE(owner.decide(now, {1, 1}).starts.empty());
    EXPECT_EQ(owner.job_count(), 0U);
}

TEST_F(inherited_runs, completion_is_acknowledged_after_save) {
    owner.vm_reported(vm, {}, now.steady, now);
    owner.add_job(job, nullptr, false, now);
    const auto started = owner.decide(now, {1, 1}).starts;
    ASSERT_EQ(started.size(), 1U);
    owner.start_answered(vm, started[0].task, started[0].run, fleet::vm_time(1), now);
    fleet::vm_report done;
    done.completions.push_back({fleet::completion_number(7),
                                started[0].task,
                                started[0].run,
                                fleet::completion_kind::done,
                                {}});
    owner.vm_reported(vm, done, now.steady, now);
    EXPECT_EQ(owner.acknowledgeable_completion(vm), fleet::completion_number(6));
    save();
    EXPECT_EQ(owner.acknowledgeable_completion(vm), fleet::completion_number(7));
}

// A previous owner may have started tasks of any customer on a VM that has not reported yet. Load:
// a takeover while the running work of a customer is at its limit and one VM is unresponsive
// (QUOTA, inc-d1a5).
TEST(customer_at_its_limit, reserves_capacity_of_unreported_vm) {
    base::metrics metrics;
    const fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                                   fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(2), {}, metrics};
    constexpr std::int64_t limit = 5'000;
    owner.configure(
        std::make_shared<const fleet::fleet_configuration>(two_queue_configuration(limit)));
    fleet::vm_info reported;
    reported.id = fleet::vm_id("heard");
    reported.service = fleet::service_name("svc");
    reported.capacity = vm_capacity_of(4'000);
    fleet::vm_info unreported = reported;
    unreported.id = fleet::vm_id("silent");
    owner.vm_listed(reported);
    owner.vm_listed(unreported);
    owner.vm_reported(reported.id, {}, now.steady, now);
    owner.add_job(make_job("new", "urgent", {make_step(3, 1'000)}), nullptr, false, now);
    EXPECT_EQ(owner.decide(now, {}).starts.size(), 1U);
    owner.vm_process_ended(unreported.id);
    EXPECT_EQ(owner.decide(now, {}).starts.size(), 2U);
}

// The same for a VM whose entry is missing when the new owner reads the member list, while the VM
// runs on under the leases of the previous owner (QUOTA, review/3/day.toml, seed 41).
TEST(customer_at_its_limit, reserves_capacity_of_unlisted_vm) {
    base::metrics metrics;
    const fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                                   fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(2), {}, metrics};
    constexpr std::int64_t limit = 5'000;
    owner.configure(
        std::make_shared<const fleet::fleet_configuration>(two_queue_configuration(limit)));
    fleet::vm_info listed;
    listed.id = fleet::vm_id("listed");
    listed.service = fleet::service_name("svc");
    listed.capacity = vm_capacity_of(4'000);
    owner.vm_listed(listed);
    owner.vm_reported(listed.id, {}, now.steady, now);
    owner.reserve_for_unlisted_vms(listed.capacity);
    owner.add_job(make_job("new", "urgent", {make_step(3, 1'000)}), nullptr, false, now);
    EXPECT_EQ(owner.decide(now, {}).starts.size(), 1U);
    owner.inherited_runs_reported(now);
    EXPECT_EQ(owner.decide(now, {}).starts.size(), 2U);
}

}  // namespace
