// A VM lists the end of a run whose lease had expired for the owner, after the task was started
// elsewhere. If the run is done, the newer starts are withdrawn, as far as they have not arrived
// yet (TWICE).
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

constexpr int task_count = 2;

// Two runs end on the first VM, of which the owner has heard nothing for a lease.
class late_end : public testing::TestWithParam<bool> {
public:
    late_end() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        list(first);
        owner.inherited_runs_reported(now);
        auto step = make_step(task_count, 1'000);
        step.gang = GetParam();
        // Another step, so that the end of this one does not end the job.
        owner.add_job(make_job("job", "urgent", {step, make_step(1, 100'000)}), nullptr, false,
                      now);
        earlier = decide().starts;
        EXPECT_EQ(earlier.size(), std::size_t{task_count});
        for (const auto& it : earlier) {
            owner.start_answered(first, it.task, it.run, fleet::vm_time(1), now);
        }
        list(second);
        owner.vm_lost(first, "lease_lapsed", {}, now);
        newer = decide().starts;
        EXPECT_EQ(newer.size(), std::size_t{task_count});
    }

    void list(const fleet::vm_id& id) {
        fleet::vm_info facts;
        facts.id = id;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        owner.vm_listed(facts);
        owner.vm_reported(id, {}, now.steady, now);
    }

    fleet::decisions decide() {
        now.steady += milliseconds(1);
        return owner.decide(now, {});
    }

    void list_ends() {
        fleet::vm_report report;
        for (const auto& it : earlier) {
            report.completions.push_back(
                {fleet::completion_number(static_cast<std::int64_t>(report.completions.size()) + 1),
                 it.task,
                 it.run,
                 fleet::completion_kind::done,
                 {}});
        }
        fleet::vm_info facts;
        facts.id = first;
        facts.service = fleet::service_name("svc");
        facts.capacity = vm_capacity_of(4'000);
        owner.vm_listed(facts);
        owner.vm_reported(first, report, now.steady, now);
    }

    const fleet::vm_id first{"first"};
    const fleet::vm_id second{"second"};
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    std::vector<fleet::start_decision> earlier;
    std::vector<fleet::start_decision> newer;
};

TEST_P(late_end, stops_newer_runs) {
    list_ends();
    const auto decided = decide();
    EXPECT_TRUE(decided.starts.empty());
    ASSERT_EQ(decided.stops.size(), newer.size());
    for (const auto& it : decided.stops) {
        EXPECT_EQ(it.vm, second);
        EXPECT_EQ(it.reason, "already_done");
    }
}

TEST_P(late_end, prevents_repeat_of_unanswered_starts) {
    const auto answer_lost = [this] {
        for (const auto& it : newer) {
            owner.start_answered(second, it.task, it.run,
                                 tl::make_unexpected(fleet::command_failure::answer_lost), now);
        }
    };
    answer_lost();
    list_ends();
    EXPECT_TRUE(decide().starts.empty());
    answer_lost();
    EXPECT_TRUE(decide().starts.empty());
}

INSTANTIATE_TEST_SUITE_P(gang, late_end, testing::Bool());

}  // namespace
