// VMs shrink to part of their capacity under their runs while work comes in, and the owner is
// killed meanwhile. No start brings a VM over what its entry shows, and all work is done, also the
// tasks that fit only VMs that have kept their capacity.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int daemon_count = 2;
constexpr int vm_count = 8;
constexpr std::int64_t vm_millicores = 8'000;
constexpr base::milliseconds wait_timeout{30'000};

struct shrinking {
    int every;         // one VM in this many
    double remaining;  // share of its capacity
    bool kill_owner;
};

class shrunk_vms : public testing::TestWithParam<shrinking> {};

TEST_P(shrunk_vms, are_not_overcommitted) {
    const shrinking& change = GetParam();
    platform_site_options plan;
    plan.vms = vm_count;
    plan.vm_millicores = vm_millicores;
    plan.task_time = base::milliseconds(400);
    fleet_cluster daemons(daemon_count, plan);
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
    ASSERT_TRUE(daemons.wait_until_ready(wait_timeout));
    const auto resize = [&](double share) {
        for (int i = 0; i < vm_count; i += change.every) {
            daemons.site().set_vm_capacity(
                i, static_cast<std::int64_t>(static_cast<double>(vm_millicores) * share));
        }
    };
    const int killed = daemons.owner_index();
    const int entry = (killed + 1) % daemon_count;
    int jobs = 0;
    const auto submit_for = [&](int count) {
        for (int i = 0; i < count; ++i) {
            ASSERT_EQ(daemons.submit(entry, job_id_text(++jobs), 4).status, ok);
            std::this_thread::sleep_for(std::chrono::milliseconds(15));
        }
    };
    submit_for(40);
    resize(change.remaining);
    submit_for(40);
    if (change.kill_owner) {
        daemons.kill(killed);
    }
    submit_for(40);
    resize(change.remaining / 2);
    submit_for(20);
    resize(1.0);
    for (int job = 1; job <= jobs; ++job) {
        EXPECT_TRUE(wait_until(
            [&] {
                const auto reply = daemons.call(entry, "GET", "/urgent/" + job_id_text(job));
                return reply.status == ok && reply.body.at("state") == "complete";
            },
            wait_timeout))
            << "job " << job;
    }
    for (const auto& it : daemons.site().violations()) {
        ADD_FAILURE() << it;
    }
}

INSTANTIATE_TEST_SUITE_P(shares, shrunk_vms,
                         testing::Values(shrinking{4, 0.55, false}, shrinking{2, 0.4, true},
                                         shrinking{3, 0.0, true}));

}  // namespace
