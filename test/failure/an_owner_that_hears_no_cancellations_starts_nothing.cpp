// An owner whose feed of the jobs is lost while the store answers everything else: of what it would
// start, some may have been cancelled. It starts nothing until it hears the changes again. While
// the store is away as a whole nothing can be cancelled, and work goes on.
#include "standins/cluster.hpp"
#include "standins/fleet_crew.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int ok = 200;
// Beyond the 2 s for which what was heard last counts.
constexpr std::chrono::milliseconds until_old{3'500};
constexpr std::chrono::milliseconds a_while{1'000};

TEST(owner_without_news, starts_nothing_until_it_hears_of_cancellations) {
    fleet_crew crew(1, {});
    ASSERT_TRUE(wait_until([&] { return crew.owner() == 0 && crew.ready(0); }));
    ASSERT_EQ(crew.submit(0, job_id_text(1), 1).status, ok);
    ASSERT_TRUE(wait_until(
        [&] { return crew.site().facts_of(fleet::job_id(job_id_text(1))).starts == 1; }));

    crew.site().hold_feed("jobs", true);
    std::this_thread::sleep_for(until_old);
    ASSERT_EQ(crew.submit(0, job_id_text(2), 1).status, ok);
    std::this_thread::sleep_for(a_while);
    EXPECT_EQ(crew.site().facts_of(fleet::job_id(job_id_text(2))).starts, 0);
    EXPECT_NE(crew.log(0).find("event=starts_held held=true"), std::string::npos);

    crew.site().hold_feed("jobs", false);
    EXPECT_TRUE(wait_until(
        [&] { return crew.site().facts_of(fleet::job_id(job_id_text(2))).starts == 1; }));
}

}  // namespace
