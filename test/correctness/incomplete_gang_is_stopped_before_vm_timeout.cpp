// The members of a gang work only together, and a VM ends a member that has waited too long for the
// others. The owner stops the whole gang before that happens if it has no confirmation that every
// member has started.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class gang_of_three : public testing::Test {
public:
    gang_of_three() {
        owner.configure(
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
        for (const char* const name : {"vm-a", "vm-b", "vm-c"}) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id(name);
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(1'000);
            owner.vm_listed(facts);
            owner.vm_reported(facts.id, {}, now.steady, now);
        }
        owner.inherited_runs_reported(now);
        auto step = make_step(3, 1'000);
        step.gang = true;
        owner.add_job(make_job("gang", "batch", {step}), nullptr, false, now);
        starts = owner.decide(now, {}).starts;
    }

    void pass(base::milliseconds time) {
        now.steady += time;
        now.wall = fleet::unix_time(now.wall.value() + time.count());
    }

    void answer(const fleet::start_decision& start,
                const tl::expected<fleet::vm_time, fleet::command_failure>& answer) {
        owner.start_answered(start.vm, start.task, start.run, answer, now);
    }

    std::set<int> stopped() {
        std::set<int> out;
        for (const auto& it : owner.decide(now, {}).stops) {
            out.insert(it.task.index);
        }
        return out;
    }

    const fleet::scheduler_settings settings;
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), settings, metrics};
    std::vector<fleet::start_decision> starts;
    const std::set<int> all_members{0, 1, 2};
};

TEST_F(gang_of_three, is_stopped_when_a_start_is_never_answered) {
    ASSERT_EQ(starts.size(), 3U);
    answer(starts[0], fleet::vm_time(1));
    answer(starts[1], fleet::vm_time(1));
    pass(settings.gang_start_timeout - base::milliseconds(1));
    EXPECT_TRUE(stopped().empty());
    pass(base::milliseconds(2));
    EXPECT_EQ(stopped(), all_members);
}

TEST_F(gang_of_three, is_stopped_when_answers_to_a_start_are_lost) {
    ASSERT_EQ(starts.size(), 3U);
    answer(starts[0], fleet::vm_time(1));
    answer(starts[1], fleet::vm_time(1));
    for (int i = 0; i < settings.max_start_attempts; ++i) {
        EXPECT_TRUE(stopped().empty());
        answer(starts[2], tl::make_unexpected(fleet::command_failure::answer_lost));
    }
    EXPECT_EQ(stopped(), all_members);
}

TEST_F(gang_of_three, keeps_running_when_all_started) {
    ASSERT_EQ(starts.size(), 3U);
    for (const auto& it : starts) {
        answer(it, fleet::vm_time(1));
    }
    pass(settings.gang_start_timeout * 3);
    EXPECT_TRUE(stopped().empty());
}

}  // namespace
