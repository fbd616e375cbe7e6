// Guards against a job that runs after its cancellation was confirmed (UNASKED). A caller may
// cancel a job that no daemon has accepted yet, because the daemon that has its submission is
// suspended. The submission that is processed later must be refused.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int unknown = 410;
constexpr int unavailable = 503;
constexpr int daemon_count = 3;
constexpr base::milliseconds wait_timeout{30'000};

class cancelled_before_acceptance : public testing::Test {
public:
    cancelled_before_acceptance() : daemons(daemon_count, platform_site_options{}) {
        EXPECT_TRUE(wait_until([&] { return daemons.owner_index() >= 0; }, wait_timeout));
        EXPECT_TRUE(daemons.wait_until_ready(wait_timeout));
        suspended = (daemons.owner_index() + 1) % daemon_count;
        other = (daemons.owner_index() + 2) % daemon_count;
    }

    int cancel(int daemon) { return daemons.call(daemon, "DELETE", path).status; }
    int state(int daemon) { return daemons.call(daemon, "GET", path).status; }

    fleet_cluster daemons;
    int suspended = 0;
    int other = 0;
    const std::string job = job_id_text(1);
    const std::string path = "/urgent/" + job;
};

TEST_F(cancelled_before_acceptance, job_of_resumed_daemon_is_refused) {
    daemons.signal(suspended, SIGSTOP);
    auto submission =
        std::async(std::launch::async, [&] { return daemons.submit(suspended, job, 4); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(cancel(other), unknown);
    daemons.signal(suspended, SIGCONT);
    const auto reply = submission.get();
    EXPECT_EQ(reply.status, unavailable) << reply.body;
    EXPECT_EQ(reply.retry_after, "") << "a retry can't succeed";
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, 0);
    // Nobody has submitted it successfully, so it does not exist for callers.
    EXPECT_EQ(state(other), unknown);
    EXPECT_EQ(cancel(other), unknown);
}

TEST_F(cancelled_before_acceptance, job_is_refused_under_next_owner) {
    EXPECT_EQ(cancel(other), unknown);
    const int previous = daemons.owner_index();
    daemons.kill(previous);
    ASSERT_TRUE(
        wait_until([&] { return daemons.owner_index() >= 0 && daemons.owner_index() != previous; },
                   wait_timeout));
    EXPECT_EQ(daemons.submit(other, job, 1).status, unavailable);
    EXPECT_EQ(daemons.submit(suspended, job, 1).status, unavailable);
    EXPECT_EQ(state(other), unknown);
    EXPECT_EQ(daemons.site().counts_of(fleet::job_id(job)).starts, 0);
}

TEST_F(cancelled_before_acceptance, other_jobs_of_same_write_are_accepted) {
    EXPECT_EQ(cancel(other), unknown);
    constexpr int jobs = 8;
    std::vector<std::future<http_reply>> replies;
    replies.reserve(jobs);
    for (int i = 0; i < jobs; ++i) {
        replies.push_back(std::async(
            std::launch::async, [&, i] { return daemons.submit(other, job_id_text(1 + i), 1); }));
    }
    EXPECT_EQ(replies[0].get().status, unavailable);
    for (std::size_t i = 1; i < replies.size(); ++i) {
        EXPECT_EQ(replies[i].get().status, ok);
    }
}

}  // namespace
