// A key is withdrawn while one daemon is suspended. The other daemons refuse the key as soon as the
// new version is in force there. From its first request after it resumes, the suspended daemon
// accepts nothing with the key, whether it reads the change first or finds that its configuration
// is no longer fresh. While the store is down, no daemon accepts keyed work for longer than it can
// show its configuration to be fresh; open queues keep working.
#include <cranberrydock/config/keys.hpp>

#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int unauthorized = 401;
constexpr base::milliseconds freshness{2'000};

cell_cluster_options short_freshness() {
    cell_cluster_options out;
    out.extra_settings = "[configuration]\nfreshness_ms = " + std::to_string(freshness.count()) +
                         "\npoll_ms = 500\n";
    return out;
}

class withdrawn_key : public ::testing::Test {
protected:
    withdrawn_key() {
        // The queue is closed to requests without a key of the team.
        json change = {{"queues", {{"keyed", {{"policy", "latency"}}}}}};
        change.merge_patch(json::parse(config::patch_to_add_key(submitter_.entry)));
        change.merge_patch(json::parse(config::patch_to_add_key(operator_.entry)));
        daemons_.patch_configuration(0, change);
    }

    work_response submit(std::size_t entry, const std::string& queue = "keyed") const {
        work_request work;
        work.queue = queue;
        work.bearer_token = queue == "keyed" ? submitter_.bearer_token : "";
        return daemons_.submit(entry, work);
    }

    bool is_accepted_everywhere() const {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            if (submit(i).status != ok) {
                return false;
            }
        }
        return true;
    }

    void withdraw(std::size_t entry) const {
        daemons_.patch_configuration(
            entry, {{"keys", {{submitter_.entry.id.str(), {{"withdrawn", true}}}}}},
            operator_.bearer_token);
    }

    config::openssl_random random_;
    config::generated_key submitter_ =
        config::generate_key({config::key_role::submitter, base::team_id("survey")}, random_);
    config::generated_key operator_ =
        config::generate_key({config::key_role::operations, {}}, random_);
    cell_cluster daemons_{short_freshness()};
};

TEST_F(withdrawn_key, is_refused_by_resumed_daemon) {
    ASSERT_TRUE(wait_until([&] { return is_accepted_everywhere(); }));
    constexpr std::size_t suspended = 2;
    daemons_.daemon_process(suspended).signal(SIGSTOP);
    withdraw(0);
    EXPECT_TRUE(wait_until([&] { return submit(0).status == unauthorized; }));
    EXPECT_TRUE(wait_until([&] { return submit(1).status == unauthorized; }));
    // Sleeps for the bound itself, so that the configuration of the suspended daemon is certainly
    // too old.
    std::this_thread::sleep_for(freshness);
    daemons_.daemon_process(suspended).signal(SIGCONT);
    const work_response first_result = submit(suspended);
    EXPECT_TRUE(first_result.reason() == "key_withdrawn" ||
                first_result.reason() == "configuration_not_fresh")
        << first_result.status << " " << first_result.body;
    EXPECT_TRUE(first_result.not_run());
    EXPECT_TRUE(wait_until([&] { return submit(suspended).reason() == "key_withdrawn"; }));
}

TEST_F(withdrawn_key, keyed_work_is_refused_when_configuration_is_stale) {
    ASSERT_TRUE(wait_until([&] { return is_accepted_everywhere(); }));
    daemons_.set_platform_faults({{"down", true}});
    EXPECT_TRUE(wait_until([&] { return submit(1).reason() == "configuration_not_fresh"; }));
    EXPECT_TRUE(submit(1).not_run());
    EXPECT_EQ(submit(1, "mosaics").status, ok);
    daemons_.set_platform_faults({{"down", false}});
    EXPECT_TRUE(wait_until([&] { return is_accepted_everywhere(); }));
}

}  // namespace
