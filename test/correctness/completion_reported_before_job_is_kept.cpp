// A VM may list a completion before the owner has read its job: a previous owner, not yet known to
// be replaced, received the job first and started the task. The completion must still count.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

TEST(completion_of_unknown_job, is_not_acknowledged_if_task_may_restart) {
    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(2), {}, metrics};
    owner.configure(std::make_shared<const fleet::fleet_configuration>(two_queue_configuration()));
    fleet::vm_info facts;
    facts.id = fleet::vm_id("vm-a");
    facts.service = fleet::service_name("svc");
    facts.capacity = vm_capacity_of(4'000);
    owner.vm_listed(facts);
    owner.vm_reported(facts.id, {}, now.steady, now);
    owner.inherited_runs_reported(now);

    const fleet::task_ref task{fleet::job_id("job"), 0, 0, 0};
    fleet::vm_report report;
    report.completions.push_back({fleet::completion_number(1),
                                  task,
                                  fleet::run_number(1),
                                  fleet::completion_kind::done,
                                  {}});
    owner.vm_reported(facts.id, report, now.steady, now);
    const bool acknowledged =
        owner.acknowledgeable_completion(facts.id) >= fleet::completion_number(1);
    owner.add_job(make_job("job", "urgent", {make_step(1, 1'000)}), nullptr, false, now);
    const bool starts_again = !owner.decide(now, {}).starts.empty();
    EXPECT_FALSE(acknowledged && starts_again);
}

}  // namespace
