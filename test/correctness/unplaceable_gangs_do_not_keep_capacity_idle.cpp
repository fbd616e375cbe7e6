// Gangs that find no room on the VMs granted to them wait at the front of the backlog. Less urgent
// jobs query the advisor meanwhile and use the capacity that is free.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int vm_count = 20;
constexpr int vms_granted_to_gangs = 6;
constexpr int gang_size = 12;  // one member per VM, so no gang fits on the VMs granted to it
constexpr base::milliseconds decision_interval{50};
constexpr base::milliseconds ticket_lifetime{2'500};

class waiting_gangs : public testing::Test {
public:
    waiting_gangs() {
        auto configuration = two_queue_configuration();
        for (auto& it : configuration.queues) {
            it.query_cost = fleet::placement_query_cost{base::milliseconds(10),
                                                        base::microseconds(100), ticket_lifetime};
        }
        owner.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
        for (int i = 0; i < vm_count; ++i) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id("vm-" + std::to_string(i));
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(16'000);
            owner.vm_listed(facts);
            owner.vm_reported(facts.id, {}, now.steady, now);
            if (i < vms_granted_to_gangs) {
                gang_vms.insert(facts.id);
            }
        }
        owner.inherited_runs_reported(now);
    }

    // Jobs that were accepted this long ago.
    void add_jobs(int count, const std::string& prefix, const std::string& queue,
                  const fleet::step_spec& step, base::milliseconds age) {
        for (int i = 0; i < count; ++i) {
            auto job = make_job(prefix + std::to_string(i), queue, {step});
            job.accepted = fleet::unix_time(now.wall.value() - age.count());
            owner.add_job(job, nullptr, false, now);
        }
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
                const bool is_gang = query.step.job.str().rfind("gang", 0) == 0;
                for (const auto& it : query.vms) {
                    if (!is_gang || gang_vms.count(it) > 0) {
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
    std::set<fleet::vm_id> gang_vms;
};

TEST_F(waiting_gangs, less_urgent_jobs_use_the_free_capacity) {
    auto gang = make_step(gang_size, 9'000);
    gang.gang = true;
    gang.estimate = base::milliseconds(10'000);
    constexpr int gangs = 40;  // need more than ten times the capacity
    add_jobs(gangs, "gang-", "urgent", gang, base::milliseconds(30'000));
    // Too late for their objective, so that they rank behind the gangs.
    constexpr int small_jobs = 60;
    add_jobs(small_jobs, "small-", "batch", make_step(2, 2'000), base::milliseconds(30'000));
    // An attempt of every gang comes first, which takes one answer of the advisor.
    const auto started = run_for(base::milliseconds(3'000));
    EXPECT_EQ(started.size(), std::size_t{small_jobs});
}

}  // namespace
