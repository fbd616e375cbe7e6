// A new owner receives completions again that the previous owner had saved but not acknowledged.
// They arrive in the order in which the VMs answer. Each failed run counts once, whatever the
// order.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

class repeated_completion : public testing::Test {
public:
    repeated_completion() {
        const auto configuration =
            std::make_shared<const fleet::fleet_configuration>(two_queue_configuration());
        owner.configure(configuration);
        for (const char* const name : {"vm-a", "vm-b"}) {
            fleet::vm_info facts;
            facts.id = fleet::vm_id(name);
            facts.service = fleet::service_name("svc");
            facts.capacity = vm_capacity_of(16'000);
            owner.vm_listed(facts);
        }
    }

    static fleet::vm_report failed_runs(const std::vector<int>& runs) {
        fleet::vm_report out;
        int number = 0;
        for (const int it : runs) {
            out.completions.push_back({fleet::completion_number(++number),
                                       {fleet::job_id("job"), 0, 0, 0},
                                       fleet::run_number(it),
                                       fleet::completion_kind::failed,
                                       {}});
        }
        return out;
    }

    void report(const char* vm, const std::vector<int>& runs) {
        owner.vm_reported(fleet::vm_id(vm), failed_runs(runs), now.steady, now);
    }

    base::metrics metrics;
    fleet::clock_reading now{base::time_point(std::chrono::seconds(100)),
                             fleet::unix_time(1'000'000)};
    fleet::scheduler owner{fleet::fencing_token(2), {}, metrics};
    fleet::job_spec job = make_job("job", "urgent", {make_step(1, 1'000)});
};

TEST_F(repeated_completion, later_run_does_not_hide_earlier_failures) {
    owner.add_job(job, nullptr, true, now);
    report("vm-a", {3});
    report("vm-b", {1, 2});
    ASSERT_TRUE(owner.status_of(job.id).has_value());
    EXPECT_EQ(owner.status_of(job.id)->state, fleet::job_state::failed);
    owner.inherited_runs_reported(now);
    EXPECT_TRUE(owner.decide(now, {1, 1}).starts.empty());
}

TEST_F(repeated_completion, saved_failures_are_not_counted_again) {
    fleet::job_progress saved;
    saved.customer = job.customer;
    saved.queue = job.queue;
    saved.state = fleet::job_state::active;
    saved.occurrences = {{{{false}, {{fleet::run_number(1), fleet::run_number(2)}}}}};
    const auto decoded = fleet::decode_progress(fleet::encode_progress(saved));
    ASSERT_TRUE(decoded.has_value());
    owner.add_job(job, &*decoded, true, now);
    report("vm-a", {1, 2});
    report("vm-b", {});
    EXPECT_EQ(owner.status_of(job.id)->state, fleet::job_state::active);
    owner.inherited_runs_reported(now);
    EXPECT_EQ(owner.decide(now, {1, 1}).starts.size(), 1U);
}

}  // namespace
