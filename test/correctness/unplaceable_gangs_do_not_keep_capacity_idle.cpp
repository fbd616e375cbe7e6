// Work that can't use the capacity that is free waits at the front of the backlog: gangs that find
// no room on the VMs granted to them, or that no VMs can hold, and jobs of customers at their
// limit. Less urgent jobs query the advisor meanwhile and use the capacity.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int vm_count = 20;
constexpr int vms_granted_to_gangs = 6;
constexpr int gang_size = 12;  // one member per VM, so no gang fits on the VMs granted to it
constexpr int small_jobs = 60;
constexpr base::milliseconds decision_interval{50};
constexpr base::milliseconds ticket_lifetime{2'500};

class work_that_waits : public testing::Test {
public:
    work_that_waits() {
        for (auto& it : configuration.queues) {
            it.query_cost = fleet::placement_query_cost{base::milliseconds(10),
                                                        base::microseconds(100), ticket_lifetime};
        }
        configure();
        for (int i = 0; i < vm_count; ++i) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id("vm-" + std::to_string(i));
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(16'000);
            owner.vm_listed(facts);
            owner.vm_reported(facts.id, {}, now.steady, now);
            if (i < vms_granted_to_gangs) {
                granted_vms["gang"].insert(facts.id);
            }
        }
        owner.inherited_runs_reported(now);
    }

    void configure() {
        owner.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
    }

    // Jobs that were accepted this long ago.
    void add_jobs(int count, const std::string& prefix, const std::string& queue,
                  const fleet::step_spec& step, base::milliseconds age,
                  const std::string& customer = "crew") {
        for (int i = 0; i < count; ++i) {
            auto job = make_job(prefix + std::to_string(i), queue, {step});
            job.customer = fleet::customer_name(customer);
            job.accepted = fleet::unix_time(now.wall.value() - age.count());
            owner.add_job(job, nullptr, false, now);
        }
    }

    // Too late for their objective, so that they rank behind what waits in the other queue.
    void add_small_jobs() {
        add_jobs(small_jobs, "small-", "batch", make_step(2, 2'000), base::milliseconds(30'000));
    }

    // Returns the jobs of which tasks were started. Every query is answered before the next
    // decision.
    std::set<fleet::job_id> run_for(base::milliseconds time) {
        std::set<fleet::job_id> out;
        for (base::milliseconds t{0}; t < time; t += decision_interval) {
            now.steady += decision_interval;
            now.wall = fleet::unix_time(now.wall.value() + decision_interval.count());
            const auto decided = owner.decide(now, {100, 100});
            for (const auto& it : decided.starts) {
                out.insert(it.task.job);
                owner.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
            }
            for (const auto& query : decided.queries) {
                fleet::placement_response answer;
                answer.ticket_lifetime = ticket_lifetime;
                const std::string job = query.step.job.str();
                const auto granted = granted_vms.find(job.substr(0, job.find('-')));
                for (const auto& it : query.vms) {
                    if (granted == granted_vms.end() || granted->second.count(it) > 0) {
                        answer.grants.push_back({it, fleet::placement_ticket("ticket")});
                    }
                }
                owner.query_answered(query, answer, now);
            }
        }
        return out;
    }

    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(1'000)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    fleet::fleet_configuration configuration = two_queue_configuration();
    // By the first part of the jobs' names. Others are granted all VMs.
    std::map<std::string, std::set<fleet::vm_id>> granted_vms;
};

TEST_F(work_that_waits, gangs_without_room_leave_free_capacity_to_others) {
    auto gang = make_step(gang_size, 9'000);
    gang.gang = true;
    gang.estimate = base::milliseconds(10'000);
    constexpr int gangs = 40;  // need more than ten times the capacity
    add_jobs(gangs, "gang-", "urgent", gang, base::milliseconds(30'000));
    add_small_jobs();
    // An attempt of every gang comes first, which takes one answer of the advisor.
    const auto started = run_for(base::milliseconds(3'000));
    EXPECT_EQ(started.size(), std::size_t{small_jobs});
}

TEST_F(work_that_waits, jobs_of_customers_at_their_limit_leave_free_capacity_to_others) {
    configuration.queues[0].query_cost.reset();
    constexpr int customers = 2;
    for (int i = 0; i < customers; ++i) {
        auto limited = configuration.customers.begin()->second;
        limited.name = fleet::customer_name("limited" + std::to_string(i));
        limited.upper_limit.cores = base::millicores(4'000);
        configuration.customers[limited.name] = limited;
    }
    configure();
    for (int i = 0; i < customers; ++i) {
        add_jobs(1, "wide" + std::to_string(i) + "-", "urgent", make_step(400, 1'000),
                 base::milliseconds(30'000), "limited" + std::to_string(i));
    }
    add_small_jobs();
    const auto started = run_for(base::milliseconds(3'000));
    EXPECT_EQ(started.size(), std::size_t{small_jobs + customers});
}

TEST_F(work_that_waits, gangs_that_no_vms_can_hold_leave_free_capacity_to_others) {
    configuration.queues[0].query_cost.reset();
    configure();
    auto gang = make_step(vm_count + 1, 9'000);
    gang.gang = true;
    add_jobs(4, "gang-", "urgent", gang, base::milliseconds(30'000));
    add_small_jobs();
    const auto started = run_for(base::milliseconds(3'000));
    EXPECT_EQ(started.size(), std::size_t{small_jobs});
}

TEST_F(work_that_waits, step_of_which_vms_were_denied_asks_for_others) {
    // The gangs wait for VMs that hold other tasks.
    granted_vms.erase("gang");
    add_jobs(10, "long-", "urgent", make_step(1, 8'000), base::milliseconds(0));
    run_for(base::milliseconds(500));
    auto gang = make_step(vm_count, 9'000);
    gang.gang = true;
    add_jobs(4, "gang-", "urgent", gang, base::milliseconds(30'000));
    run_for(base::milliseconds(500));
    granted_vms["small"] = {};
    add_jobs(1, "small-", "batch", make_step(2, 2'000), base::milliseconds(30'000));
    run_for(base::milliseconds(600));
    granted_vms.erase("small");  // VMs that no query has named yet
    EXPECT_EQ(run_for(base::milliseconds(1'200)).size(), std::size_t{1});
}

}  // namespace
