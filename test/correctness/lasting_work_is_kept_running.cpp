// Lasting work among short work that fills the fleet: it is spread over VMs, racks and zones,
// started again before anything else when its VM has ended, moved off a VM that leaves, and never
// given up. Load: more short work than fits, all the time.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_work.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class lasting_work : public testing::Test {
public:
    lasting_work() {
        owner.configure(std::make_shared<const fleet::fleet_configuration>(two_queues()));
        for (int i = 0; i < vm_count; ++i) {
            fleet::vm_facts facts;
            facts.id = fleet::vm_id("vm-" + std::to_string(i));
            facts.service = fleet::service_name("svc");
            facts.zone = fleet::zone_name("z" + std::to_string(i % zones));
            facts.rack = fleet::rack_name("r" + std::to_string(i % racks));
            facts.capacity = vm_of(4'000);
            facts.boot = fleet::boot_time(1);
            vms[facts.id] = facts;
            owner.vm_seen(facts);
            owner.vm_reported(facts.id, {}, now.steady, now);
        }
        owner.inherited_runs_known(now);
        auto step = step_of(task_count, 1'000);
        step.long_running = true;
        owner.job_submitted(job_of("tracking", "batch", {step}), nullptr, false, now);
        decide();
    }

    void pass(base::milliseconds time) {
        now.steady += time;
        now.wall = fleet::unix_time(now.wall.value() + time.count());
    }

    // Each start is answered, each stop ends its run at once.
    void decide() {
        const auto decided = owner.decide(now, {});
        for (const auto& it : decided.starts) {
            owner.start_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
            runs[it.vm][it.task] = it.run;
            ++starts;
        }
        pass(base::milliseconds(10));
        for (const auto& it : decided.stops) {
            owner.stop_answered(it.vm, it.task, it.run, fleet::vm_time(1), now);
            end(it.vm, it.task, fleet::end_kind::stopped);
        }
    }

    void end(const fleet::vm_id& vm, const fleet::task_ref& task, fleet::end_kind kind) {
        fleet::vm_report report;
        report.boot = vms[vm].boot;
        report.ends.push_back(
            {fleet::end_number(++last_end[vm]), task, runs[vm].at(task), kind, {}});
        runs[vm].erase(task);
        for (const auto& it : runs[vm]) {
            report.running.push_back({it.first, it.second, {}, 100});
        }
        owner.vm_reported(vm, report, now.steady, now);
    }

    void fill_with_short_work(int jobs = 100) {
        for (int i = 0; i < jobs; ++i) {
            owner.job_submitted(
                job_of("short-" + std::to_string(++short_jobs), "urgent", {step_of(1, 1'000)}),
                nullptr, false, now);
        }
        decide();
    }

    // Where the tasks of the lasting job run.
    std::map<int, fleet::vm_id> places() const {
        std::map<int, fleet::vm_id> out;
        for (const auto& vm : runs) {
            for (const auto& it : vm.second) {
                if (it.first.job == fleet::job_id("tracking")) {
                    out[it.first.index] = vm.first;
                }
            }
        }
        return out;
    }

    template <typename Key>
    int most_together(Key key) const {
        std::map<std::string, int> counts;
        int out = 0;
        for (const auto& it : places()) {
            out = std::max(out, ++counts[key(vms.at(it.second))]);
        }
        return out;
    }

    static constexpr int vm_count = 16;
    static constexpr int zones = 2;
    static constexpr int racks = 8;
    static constexpr int task_count = 8;

    base::metrics metrics;
    fleet::moment now{base::time_point(std::chrono::seconds(100)), fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fence(1), {}, metrics};
    std::map<fleet::vm_id, fleet::vm_facts> vms;
    std::map<fleet::vm_id, std::map<fleet::task_ref, fleet::run_number>> runs;
    std::map<fleet::vm_id, std::int64_t> last_end;
    int starts = 0;
    int short_jobs = 0;
};

TEST_F(lasting_work, is_spread_over_vms_racks_and_zones) {
    EXPECT_EQ(places().size(), static_cast<std::size_t>(task_count));
    EXPECT_EQ(most_together([](const auto& vm) { return vm.id.str(); }), 1);
    EXPECT_EQ(most_together([](const auto& vm) { return vm.rack.str(); }), 1);
    EXPECT_EQ(most_together([](const auto& vm) { return vm.zone.str(); }), task_count / zones);
}

TEST_F(lasting_work, starts_again_first_when_its_vm_has_ended) {
    fill_with_short_work();
    const auto gone = places().at(0);
    runs[gone].clear();
    owner.vm_ended(gone);
    decide();
    // All is full: the first room that frees is its own.
    EXPECT_EQ(places().count(0), 0U);
    const auto other = std::find_if(runs.begin(), runs.end(), [&](const auto& it) {
        return it.first != gone && !it.second.empty();
    });
    const auto ended = std::find_if(other->second.begin(), other->second.end(), [](const auto& it) {
        return it.first.job != fleet::job_id("tracking");
    });
    end(other->first, fleet::task_ref(ended->first), fleet::end_kind::done);
    decide();
    ASSERT_EQ(places().count(0), 1U);
    EXPECT_EQ(places().at(0), other->first);
}

// What an unanswered order may still start, on whatever runs there next, is not started elsewhere.
TEST_F(lasting_work, waits_for_orders_that_nobody_has_answered) {
    auto step = step_of(1, 1'000);
    step.long_running = true;
    owner.job_submitted(job_of("unanswered", "batch", {step}), nullptr, false, now);
    const auto decided = owner.decide(now, {});
    ASSERT_EQ(decided.starts.size(), 1U);
    owner.vm_ended(decided.starts.front().vm);
    const auto next = owner.decide(now, {});
    EXPECT_TRUE(std::none_of(next.starts.begin(), next.starts.end(), [](const auto& it) {
        return it.task.job == fleet::job_id("unanswered");
    }));
}

TEST_F(lasting_work, moves_off_a_vm_that_leaves_before_it_goes) {
    const auto from = places().at(3);
    vms[from].leaving = true;
    owner.vm_seen(vms[from]);
    decide();
    decide();
    ASSERT_EQ(places().count(3), 1U);
    EXPECT_NE(places().at(3), from);
    EXPECT_EQ(starts, task_count + 1) << "nothing else is moved";
}

TEST_F(lasting_work, stays_on_a_vm_that_leaves_while_there_is_no_other_room) {
    fill_with_short_work();
    const auto from = places().at(3);
    vms[from].leaving = true;
    owner.vm_seen(vms[from]);
    decide();
    decide();
    EXPECT_EQ(places().at(3), from);
}

TEST_F(lasting_work, is_never_given_up) {
    const int far_more_than_attempts = 50;
    for (int i = 0; i < far_more_than_attempts; ++i) {
        const auto at = places().at(5);
        end(at, {fleet::job_id("tracking"), 0, 0, 5}, fleet::end_kind::failed);
        pass(base::milliseconds(5'000));
        decide();
        ASSERT_EQ(places().count(5), 1U) << "after " << i << " failures";
    }
}

}  // namespace
