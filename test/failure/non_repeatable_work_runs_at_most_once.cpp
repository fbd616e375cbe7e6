// Non-repeatable work is sent to two entries at once and sent again, while owners are killed at
// random points in time and the store loses answers. The work starts at most once, no two callers
// get different answers, and work that was refused as not run never started.
#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int kills = 4;
constexpr int requests_per_kill = 10;  // each is sent by two callers
constexpr int max_tries = 20;
constexpr int longest_task_ms = 300;
constexpr int longest_wait_ms = 400;  // before the kill
constexpr int lost_answers_permille = 60;
constexpr unsigned seed = 20261204;

std::string mark_of(int round, int i) {
    return "mark-" + std::to_string(round) + "-" + std::to_string(i);
}

work_request marked(const std::string& mark, int for_ms) {
    work_request out;
    out.repeatable = false;
    out.key = mark;
    const json payload = {{"for_ms", for_ms}, {"answer", "answer of " + mark}, {"mark", mark}};
    out.extra_fields = {{"payload", payload.dump()}};
    return out;
}

// The final result of one caller.
struct caller_result {
    work_response last;
    bool may_have_run = false;  // at least one attempt was not refused as not run
};

// Sends through one entry after the other until a caller gets an answer or an unknown outcome.
caller_result send_until_final(const cell_cluster& daemons, std::size_t first_entry,
                               const work_request& work) {
    caller_result out;
    for (std::size_t i = 0; i < max_tries; ++i) {
        out.last = daemons.submit((first_entry + i) % daemons.size(), work);
        const bool answered = out.last.status == ok;
        const bool unknown = out.last.status != 0 && out.last.reason() == "outcome_unknown";
        out.may_have_run = out.may_have_run || !out.last.not_run();
        if (answered || unknown) {
            return out;
        }
    }
    return out;
}

class repeated_sends : public ::testing::Test {
protected:
    std::future<caller_result> send_async(std::size_t entry, const work_request& work) {
        return std::async(std::launch::async,
                          [this, entry, work] { return send_until_final(daemons_, entry, work); });
    }

    int random_up_to(int limit) { return std::uniform_int_distribution<int>(0, limit)(random_); }

    void send_and_kill(int round) {
        for (int i = 0; i < requests_per_kill; ++i) {
            const work_request work = marked(mark_of(round, i), random_up_to(longest_task_ms));
            first_.push_back(send_async(0, work));
            second_.push_back(send_async(1, work));
            marks_.push_back(mark_of(round, i));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random_up_to(longest_wait_ms)));
        const auto owner = daemons_.owner_of("nc-a");
        const std::size_t killed = owner.value_or(0);
        daemons_.kill(killed);
        daemons_.restart(killed);
    }

    void check(const std::string& mark, const caller_result& first_caller,
               const caller_result& second_caller, const std::set<std::string>& started) {
        for (const auto& it : {first_caller, second_caller}) {
            const bool is_final = it.last.status == ok || it.last.reason() == "outcome_unknown";
            EXPECT_TRUE(is_final) << mark << ": " << it.last.status << " " << it.last.body;
        }
        if (first_caller.last.status == ok && second_caller.last.status == ok) {
            EXPECT_EQ(first_caller.last.body.at("answers"), second_caller.last.body.at("answers"))
                << mark;
        }
        const bool answered = first_caller.last.status == ok || second_caller.last.status == ok;
        EXPECT_TRUE(!answered || started.count(mark) > 0) << mark;
        if (!first_caller.may_have_run && !second_caller.may_have_run) {
            EXPECT_EQ(started.count(mark), 0U) << mark << " was refused as not run";
        }
    }

    cell_cluster daemons_;
    std::mt19937 random_{seed};
    std::vector<std::future<caller_result>> first_;
    std::vector<std::future<caller_result>> second_;
    std::vector<std::string> marks_;
};

TEST_F(repeated_sends, start_work_at_most_once) {
    daemons_.set_platform_faults({{"lose_permille", lost_answers_permille}, {"seed", seed}});
    for (int i = 0; i < kills; ++i) {
        send_and_kill(i);
    }
    daemons_.set_platform_faults(json::object());
    std::vector<caller_result> first;
    std::vector<caller_result> second;
    for (std::size_t i = 0; i < marks_.size(); ++i) {
        first.push_back(first_[i].get());
        second.push_back(second_[i].get());
    }
    const auto started = daemons_.checker_report().at("marks").get<std::set<std::string>>();
    for (std::size_t i = 0; i < marks_.size(); ++i) {
        check(marks_[i], first[i], second[i], started);
    }
    EXPECT_EQ(daemons_.violations(), "");
}

}  // namespace
