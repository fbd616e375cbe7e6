// A job belongs to the queue to which it was submitted. Under the path of another queue it does not
// exist and can be neither read nor cancelled. A job stays visible after its queue has been
// removed.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int gone = 410;

class job_visibility : public testing::Test {
public:
    job_visibility() : daemons(1, platform_site_options{}) {
        EXPECT_TRUE(daemons.wait_until_ready(0));
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0 && daemons.ready(0); }));
        EXPECT_EQ(daemons.submit(0, job, 1).status, ok);
    }

    http_reply call(const std::string& method, const std::string& queue) {
        return daemons.call(0, method, queue + job);
    }

    bool completes() {
        return wait_until([&] {
            const auto reply = call("GET", "/urgent/");
            return reply.status == ok && reply.body.at("state") == "complete";
        });
    }

    fleet_cluster daemons;
    const std::string job = job_id_text(1);
};

TEST_F(job_visibility, running_and_ended_job_only_in_its_queue) {
    EXPECT_EQ(call("GET", "/batch/").status, gone);
    ASSERT_TRUE(completes());
    EXPECT_EQ(call("GET", "/batch/").status, gone);
}

TEST_F(job_visibility, job_read_from_store_only_in_its_queue) {
    ASSERT_TRUE(completes());
    daemons.kill(0);
    daemons.start(0);
    ASSERT_TRUE(daemons.wait_until_ready(0));
    EXPECT_EQ(call("GET", "/urgent/").status, ok);
    EXPECT_EQ(call("GET", "/batch/").status, gone);
}

TEST_F(job_visibility, other_queue_cannot_cancel) {
    EXPECT_EQ(call("DELETE", "/batch/").status, gone);
    EXPECT_TRUE(completes());
}

TEST_F(job_visibility, job_of_removed_queue_stays_visible) {
    auto renamed = nlohmann::json::parse(fleet_cluster::configuration(2, false));
    renamed["routes"][0]["name"] = "rush";
    daemons.site().put_row("op", "config", renamed.dump());
    ASSERT_TRUE(
        wait_until([&] { return daemons.log_text(0).find("version=2") != std::string::npos; }));
    EXPECT_TRUE(completes());
}

}  // namespace
