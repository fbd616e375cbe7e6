// Thousands of jobs wait because their customer is at its limit. A decision examines the most
// urgent of them and a sample of the rest, so that it stays short and jobs behind the backlog that
// have room still start soon. Placement queries that are open at the same time count on different
// VMs.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class busy_fleet : public testing::Test {
public:
    void add_vms(int count, std::int64_t thousandths) {
        for (int i = 0; i < count; ++i) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id("vm-" + std::to_string(i));
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(thousandths);
            owner.vm_listed(facts);
            owner.vm_reported(facts.id, {}, now.steady, now);
        }
        owner.inherited_runs_reported(now);
    }

    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
};

TEST_F(busy_fleet, job_behind_blocked_backlog_starts) {
    constexpr std::int64_t limit = 1'000;
    auto configuration = two_queue_configuration(limit);
    fleet::customer_config other;
    other.name = fleet::customer_name("other");
    other.share = 1'000;
    configuration.customers[other.name] = other;
    owner.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
    add_vms(10, 8'000);
    constexpr int backlog = 3'000;
    for (int i = 0; i < backlog; ++i) {
        owner.add_job(make_job("blocked-" + std::to_string(i), "urgent", {make_step(1, 1'000)}),
                      nullptr, false, now);
    }
    auto free_job = make_job("free", "batch", {make_step(1, 1'000)});
    free_job.customer = other.name;
    owner.add_job(free_job, nullptr, false, now);
    // Every step of the backlog is examined within 30 decisions.
    constexpr int decisions = 30;
    bool started = false;
    for (int i = 0; i < decisions; ++i) {
        for (const auto& it : owner.decide(now, {}).starts) {
            started = started || it.task.job == free_job.id;
        }
    }
    EXPECT_TRUE(started);
}

TEST_F(busy_fleet, blocked_backlog_leaves_queries_to_others) {
    constexpr std::int64_t limit = 1'000;
    auto configuration = two_queue_configuration(limit);
    for (auto& it : configuration.queues) {
        if (it.name == fleet::queue_name("batch")) {
            it.query_cost = fleet::placement_query_cost{
                base::milliseconds(7), base::microseconds(100), base::milliseconds(2'000)};
        }
    }
    fleet::customer_config other;
    other.name = fleet::customer_name("other");
    other.share = 1'000;
    configuration.customers[other.name] = other;
    owner.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
    add_vms(10, 8'000);
    owner.add_job(make_job("runs", "urgent", {make_step(1, limit)}), nullptr, false, now);
    ASSERT_EQ(owner.decide(now, {}).starts.size(), 1U);
    constexpr int backlog = 500;
    for (int i = 0; i < backlog; ++i) {
        auto blocked = make_job("blocked-" + std::to_string(i), "batch", {make_step(1, limit)});
        blocked.accepted = now.wall;
        owner.add_job(blocked, nullptr, false, now);
    }
    auto free_job = make_job("free", "batch", {make_step(1, limit)});
    free_job.customer = other.name;
    free_job.accepted = fleet::unix_time(now.wall.value() + 1);
    owner.add_job(free_job, nullptr, false, now);
    // Every step is examined within 3 decisions.
    constexpr int decisions = 3;
    bool queried = false;
    for (int i = 0; i < decisions; ++i) {
        for (const auto& it : owner.decide(now, {2, 2}).queries) {
            queried = queried || it.step.job == free_job.id;
        }
    }
    EXPECT_TRUE(queried);
}

TEST_F(busy_fleet, concurrent_queries_name_different_vms) {
    auto configuration = two_queue_configuration();
    for (auto& it : configuration.queues) {
        it.query_cost = fleet::placement_query_cost{base::milliseconds(7), base::microseconds(100),
                                                    base::milliseconds(2'000)};
    }
    owner.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
    constexpr int vms = 60;
    add_vms(vms, 1'000);  // room for one task each
    constexpr int jobs = 10;
    for (int i = 0; i < jobs; ++i) {
        owner.add_job(make_job("job-" + std::to_string(i), "urgent", {make_step(1, 1'000)}),
                      nullptr, false, now);
    }
    const auto queries = owner.decide(now, {jobs, jobs}).queries;
    ASSERT_EQ(queries.size(), std::size_t{jobs});
    std::set<fleet::vm_id> named_vms;
    std::size_t name_count = 0;
    for (const auto& it : queries) {
        named_vms.insert(it.vms.begin(), it.vms.end());
        name_count += it.vms.size();
    }
    // Six VMs per query are enough, and the fleet has enough VMs for all queries.
    EXPECT_EQ(named_vms.size(), name_count);
}

}  // namespace
