// A VM carries out a start up to 12 s after it was sent, also when it has restarted since. The next
// incarnation knows of no fencing token, stop or end of before.
#include <cranberrydock/fleet/run_leases.hpp>
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

constexpr milliseconds latest_start{12'000};

TEST(late_start, of_previous_owner_is_waited_for) {
    const base::time_point ended{std::chrono::seconds(100)};
    const fleet::lease_settings settings;
    fleet::inherited_leases inherited(settings, ended, milliseconds(0));
    EXPECT_FALSE(inherited.all_expired(ended + latest_start + settings.lease));
}

TEST(late_start, of_stopped_run_is_waited_for) {
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(1), {}, metrics};
    owner.configure(std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
    fleet::vm_info facts;
    facts.id = fleet::vm_id("vm");
    facts.service = fleet::service_name("svc");
    facts.capacity = vm_capacity_of(4'000);
    owner.vm_listed(facts);
    owner.vm_reported(facts.id, {}, now.steady, now);
    owner.inherited_runs_reported(now);
    owner.add_job(make_job("job", "urgent", {make_step(1, 1'000)}), nullptr, false, now);
    fleet::start_decision start = owner.decide(now, {}).starts.at(0);
    for (int i = 0; i < fleet::scheduler_settings{}.max_start_attempts; ++i) {
        owner.start_answered(start.vm, start.task, start.run,
                             tl::make_unexpected(fleet::command_failure::answer_lost), now);
        now.steady += milliseconds(10);
        owner.decide(now, {});
    }
    owner.stop_answered(start.vm, start.task, start.run, fleet::vm_time(1), now);
    now.steady += milliseconds(10);
    owner.vm_reported(start.vm, {}, now.steady, now);
    EXPECT_TRUE(owner.decide(now, {}).starts.empty());
}

}  // namespace
