// The daemons are killed while VMs have more completions than one report lists. The next owner
// starts no inherited task before it has read all of them: each task runs once.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr std::int64_t vm_millicores = 32'000;
constexpr base::milliseconds wait_timeout{30'000};
// Less than the leases that the VMs hold.
constexpr base::milliseconds down_time{2'500};

struct fleet_size {
    int daemons;
    int vms;
    int tasks_per_vm;
};

class unlisted_completions : public testing::TestWithParam<fleet_size> {};

TEST_P(unlisted_completions, are_not_run_again) {
    const fleet_size size = GetParam();
    platform_site_options plan;
    plan.vms = size.vms;
    plan.vm_millicores = vm_millicores;
    plan.behavior = [cores = vm_millicores / size.tasks_per_vm](const fleet::task_ref&) {
        task_behavior run;
        run.run_time = base::milliseconds(2'000);
        run.need.cores = base::millicores(cores);
        return run;
    };
    fleet_cluster daemons(size.daemons, plan);
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
    ASSERT_TRUE(daemons.wait_until_ready(wait_timeout));
    const std::string id = job_id_text(1);
    const int tasks = size.vms * size.tasks_per_vm;
    const nlohmann::json body = {{"spec", "small"},
                                 {"phases",
                                  {{{"count", tasks},
                                    {"cpu", vm_millicores / size.tasks_per_vm},
                                    {"memMb", 1},
                                    {"estimatedMs", 2'000}}}}};
    ASSERT_EQ(daemons.call(0, "POST", "/urgent/" + id, body.dump()).status, ok);
    auto& site = daemons.site();
    ASSERT_TRUE(wait_until([&] { return site.counts_of(fleet::job_id(id)).done > 0; }));
    for (int i = 0; i < size.daemons; ++i) {
        daemons.kill(i);
    }
    wait_until([&] { return site.counts_of(fleet::job_id(id)).running == 0; }, down_time);
    for (int i = 0; i < size.daemons; ++i) {
        daemons.start(i);
    }
    EXPECT_TRUE(wait_until(
        [&] {
            const auto reply = daemons.call(0, "GET", "/urgent/" + id);
            return reply.status == ok && reply.body.at("state") == "complete";
        },
        wait_timeout));
    for (const auto& it : site.violations()) {
        ADD_FAILURE() << it;
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, unlisted_completions,
                         testing::Values(fleet_size{1, 1, 1'100}, fleet_size{2, 3, 800},
                                         fleet_size{1, 2, 1'500}));

}  // namespace
