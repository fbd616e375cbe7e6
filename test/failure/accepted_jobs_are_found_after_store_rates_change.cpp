// The platform changes the store's rates in the settings, from which the number of partitions of
// the jobs once followed. Daemons that start with other rates find all accepted jobs, whichever of
// them accepted the job and whichever owns the fleet.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int daemon_count = 3;
constexpr int jobs_per_round = 12;
constexpr base::milliseconds wait_timeout{20'000};

struct store_rates {
    int writes_per_s;
    int part_writes_per_s;
};

class changed_rates : public testing::TestWithParam<std::vector<store_rates>> {
public:
    void change_settings(int daemon, const store_rates& rates) {
        const std::string path = daemons.settings_file(daemon);
        nlohmann::json settings = nlohmann::json::parse(std::ifstream(path));
        settings["platform"]["writesPerS"] = rates.writes_per_s;
        settings["platform"]["partWritesPerS"] = rates.part_writes_per_s;
        std::ofstream(path) << settings.dump();
    }

    void submit_jobs() {
        for (int i = 0; i < jobs_per_round; ++i) {
            ASSERT_EQ(daemons.submit(i % daemon_count, job_id_text(++submitted), 2).status, ok);
        }
    }

    void check_jobs() {
        for (int job = 1; job <= submitted; ++job) {
            for (int i = 0; i < daemon_count; ++i) {
                const auto reply = daemons.call(i, "GET", "/urgent/" + job_id_text(job));
                EXPECT_EQ(reply.status, ok) << "job " << job << " at daemon " << i;
            }
        }
    }

    fleet_cluster daemons{daemon_count, platform_site_options{}};
    int submitted = 0;
};

TEST_P(changed_rates, do_not_hide_accepted_jobs) {
    ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
    ASSERT_TRUE(daemons.wait_until_ready(wait_timeout));
    submit_jobs();
    for (const auto& rates : GetParam()) {
        // The owner is restarted first, then the others: both see daemons with other settings.
        const int owner = daemons.owner_index();
        ASSERT_GE(owner, 0);
        for (int i = 0; i < daemon_count; ++i) {
            const int daemon = (owner + i) % daemon_count;
            change_settings(daemon, rates);
            daemons.terminate(daemon);
            ASSERT_TRUE(daemons.wait_until_ended(daemon));
            daemons.start(daemon);
            ASSERT_TRUE(daemons.wait_until_ready(daemon, wait_timeout));
            ASSERT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
            if (i == 0) {
                submit_jobs();
                check_jobs();
            }
        }
        check_jobs();
    }
    for (int job = 1; job <= submitted; ++job) {
        EXPECT_TRUE(wait_until(
            [&] {
                const auto reply = daemons.call(0, "GET", "/urgent/" + job_id_text(job));
                return reply.status == ok && reply.body.at("state") == "complete";
            },
            wait_timeout))
            << "job " << job;
    }
    for (const auto& it : daemons.site().violations()) {
        ADD_FAILURE() << it;
    }
}

INSTANTIATE_TEST_SUITE_P(rates, changed_rates,
                         testing::Values(std::vector<store_rates>{{800, 200}},
                                         std::vector<store_rates>{{200, 200}, {1'600, 200}},
                                         std::vector<store_rates>{{600, 500}}));

}  // namespace
