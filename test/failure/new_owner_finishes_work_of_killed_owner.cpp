// The owner of a cell is killed while requests of every kind run and wait. Each caller gets its own
// complete answer, non-repeatable work runs once, and an accepted job finishes.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock::standins;

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int callers = 24;
constexpr int task_ms = 1'500;

work_request numbered_work(int i) {
    work_request out;
    out.queue = i % 3 == 0 ? "previews" : "mosaics";
    out.repeatable = i % 2 == 0;
    out.key = "work-" + std::to_string(i);
    out.task_time_ms = task_ms;
    out.answer = "answer-" + std::to_string(i);
    return out;
}

TEST(killed_owner, work_is_finished_by_new_owner) {
    cell_cluster daemons;
    constexpr std::size_t caller_entry = 2;  // owns neither cell of northcoast
    std::vector<std::future<work_response>> calls;
    calls.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        calls.push_back(daemons.submit_async(caller_entry, numbered_work(i)));
    }
    work_request job = numbered_work(callers);
    job.job = true;
    job.extra_fields = {{"tasks", 6}};
    const work_response submitted = daemons.submit(caller_entry, job);
    ASSERT_EQ(submitted.status, accepted) << submitted.body;
    // By now some of the work runs, and some still waits.
    ASSERT_TRUE(wait_until([&] { return daemons.checker_report().at("starts") > callers / 4; }));

    const auto owner = daemons.owner_of("nc-a");
    ASSERT_TRUE(owner.has_value());
    daemons.kill(*owner);

    for (int i = 0; i < callers; ++i) {
        const work_response result = calls[static_cast<std::size_t>(i)].get();
        EXPECT_EQ(result.status, ok) << result.body;
        EXPECT_EQ(result.answer(), "answer-" + std::to_string(i));
    }
    // Submitting the job again joins the first submission. Once the job is done, the same call
    // returns its answers.
    EXPECT_TRUE(wait_until([&] {
        const work_response resubmitted = daemons.submit(caller_entry, job);
        return resubmitted.status == ok && resubmitted.body.at("answers").size() == 6;
    }));
    EXPECT_EQ(daemons.violations(), "");
}

}  // namespace
