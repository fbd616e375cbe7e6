// A new owner finds room for the work of the whole fleet at once. Each unanswered start takes
// memory, so that only so many are sent at a time; what is answered is followed by the next ones at
// once, and VMs that do not answer hold back no others.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class idle_fleet : public testing::Test {
public:
    idle_fleet() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
    }

    void add_vms(int count) {
        for (int i = 0; i < count; ++i) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id("vm-" + std::to_string(i));
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(32'000);
            facts.boot = fleet::boot_time(1);
            owner.vm_listed(facts);
            owner.vm_reported(facts.id, {}, now.steady, now);
        }
        owner.inherited_runs_reported(now);
    }

    void add_jobs(int jobs, int tasks) {
        for (int i = 0; i < jobs; ++i) {
            owner.add_job(make_job("job-" + std::to_string(i), "urgent", {make_step(tasks, 50)}),
                          nullptr, true, now);
        }
    }

    std::vector<fleet::start_decision> decide() {
        now.steady += base::milliseconds(10);
        now.wall = fleet::unix_time(now.wall.value() + 10);
        return owner.decide(now, {}).starts;
    }

    void answer(const fleet::start_decision& start) {
        owner.start_answered(start.vm, start.task, start.run, fleet::vm_time(1), now);
    }

    base::metrics metrics;
    fleet::scheduler_settings settings;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(2), settings, metrics};
};

TEST_F(idle_fleet, is_filled_with_bounded_unanswered_starts) {
    constexpr int vms = 48;
    constexpr int jobs = 450;
    constexpr int tasks = 60;
    add_vms(vms);
    add_jobs(jobs, tasks);
    std::set<fleet::task_ref> started;
    int decisions = 0;
    while (started.size() < static_cast<std::size_t>(jobs) * tasks) {
        const auto starts = decide();
        ASSERT_LE(starts.size(), settings.min_pending_commands);
        std::map<fleet::vm_id, std::size_t> by_vm;
        for (const auto& it : starts) {
            ASSERT_LE(++by_vm[it.vm], settings.max_pending_starts_per_vm);
            started.insert(it.task);
        }
        for (const auto& it : starts) {
            answer(it);
        }
        ASSERT_LT(++decisions, 100) << started.size() << " tasks started";
    }
}

// A third of the VMs accept connections and answer nothing.
TEST_F(idle_fleet, is_filled_beside_unresponsive_vms) {
    constexpr int vms = 48;
    constexpr int jobs = 300;
    constexpr int tasks = 60;
    add_vms(vms);
    add_jobs(jobs, tasks);
    const auto is_unresponsive = [](const fleet::vm_id& vm) {
        return std::stoi(vm.str().substr(3)) % 3 == 0;
    };
    std::size_t answered = 0;
    std::size_t unanswered = 0;
    for (int i = 0; i < 100; ++i) {
        for (const auto& it : decide()) {
            if (is_unresponsive(it.vm)) {
                ++unanswered;
            } else {
                answer(it);
                ++answered;
            }
        }
    }
    EXPECT_LE(unanswered, vms / 3 * settings.max_pending_starts_per_vm);
    EXPECT_EQ(answered + unanswered, static_cast<std::size_t>(jobs) * tasks);
}

TEST_F(idle_fleet, is_emptied_with_bounded_unanswered_stops) {
    constexpr std::size_t tasks = 5'000;
    add_vms(16);
    const fleet::job_spec job = make_job("job", "urgent", {make_step(tasks, 50)});
    owner.add_job(job, nullptr, false, now);
    while (owner.run_count() < tasks) {
        const auto starts = decide();
        ASSERT_FALSE(starts.empty());
        for (const auto& it : starts) {
            answer(it);
        }
    }
    owner.cancel_job(job.id, now);
    std::size_t stopped = 0;
    while (stopped < tasks) {
        now.steady += base::milliseconds(10);
        const auto stops = owner.decide(now, {}).stops;
        ASSERT_FALSE(stops.empty());
        ASSERT_LE(stops.size(), settings.min_pending_commands);
        for (const auto& it : stops) {
            owner.stop_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
        }
        stopped += stops.size();
    }
}

}  // namespace
