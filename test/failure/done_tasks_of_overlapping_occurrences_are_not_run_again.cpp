// The progress of a job with many open occurrences, or with very many tasks, takes more than a row
// of the store. What VMs were allowed to forget is saved all the same: after the owner is killed,
// no done task runs again.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr std::int64_t task_millicores = 100;
constexpr base::milliseconds wait_timeout{40'000};

struct large_job {
    int tasks;        // of an occurrence
    int occurrences;  // 0: the job is not repeated
    base::milliseconds interval;
    std::size_t row_bytes;
};

class progress_beyond_one_row : public testing::TestWithParam<large_job> {};

TEST_P(progress_beyond_one_row, is_kept_by_next_owner) {
    const large_job& job = GetParam();
    platform_site_options plan;
    plan.vms = 4;
    plan.vm_millicores = 6'000;
    plan.behavior = [](const fleet::task_ref&) {
        task_behavior run;
        run.run_time = base::milliseconds(250);
        run.need.cores = base::millicores(task_millicores);
        return run;
    };
    plan.max_row_bytes = job.row_bytes;
    fleet_cluster daemons(2, plan);
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
    ASSERT_TRUE(daemons.wait_until_ready(wait_timeout));
    const std::string id = job_id_text(1);
    nlohmann::json body = {
        {"spec", "small"},
        {"phases",
         {{{"count", job.tasks}, {"cpu", task_millicores}, {"memMb", 1}, {"estimatedMs", 250}}}}};
    if (job.occurrences > 0) {
        const auto now = std::chrono::duration_cast<base::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        body["repeatCount"] = job.occurrences;
        body["intervalMs"] = job.interval.count();
        body["startAtMs"] = now.count();
    }
    ASSERT_EQ(daemons.call(0, "POST", "/urgent/" + id, body.dump()).status, ok);
    const int tasks = job.tasks * std::max(1, job.occurrences);
    auto& site = daemons.site();
    const auto done = [&] { return site.counts_of(fleet::job_id(id)).done; };
    for (const int share : {4, 2}) {  // the owner is killed after a quarter and after a half
        ASSERT_TRUE(wait_until([&] { return done() * share >= tasks; }, wait_timeout));
        const int owner = daemons.owner_index();
        ASSERT_GE(owner, 0);
        daemons.kill(owner);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        daemons.start(owner);
        ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
    }
    EXPECT_TRUE(wait_until(
        [&] {
            const auto reply = daemons.call(0, "GET", "/urgent/" + id);
            return reply.status == ok && reply.body.at("state") == "complete";
        },
        wait_timeout))
        << done() << " of " << tasks << " tasks are done";
    for (const auto& it : site.violations()) {
        ADD_FAILURE() << it;
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, progress_beyond_one_row,
                         testing::Values(large_job{300, 14, base::milliseconds(100), 1'500},
                                         large_job{40, 80, base::milliseconds(20), 1'000},
                                         large_job{5'000, 0, base::milliseconds(0), 2'000}));

}  // namespace
