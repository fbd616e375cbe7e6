// Work that may not be repeated is sent to two entries at once, and sent again, while owners are
// killed at random moments and the store loses answers. It starts at most once, nobody gets two
// different answers, and what was refused as not run never started.
#include "standins/crew.hpp"

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
constexpr int works = 10;  // of each kill, each sent by two callers
constexpr int most_tries = 20;
constexpr int longest_task_ms = 300;
constexpr int longest_wait_ms = 400;  // before the kill
constexpr int lost_answers_permille = 60;
constexpr unsigned seed = 20261204;

std::string mark_of(int round, int i) {
    return "mark-" + std::to_string(round) + "-" + std::to_string(i);
}

call_work marked(const std::string& mark, int for_ms) {
    call_work out;
    out.repeatable = false;
    out.key = mark;
    const json payload = {{"for_ms", for_ms}, {"answer", "answer of " + mark}, {"mark", mark}};
    out.more = {{"payload", payload.dump()}};
    return out;
}

// What one caller got in the end.
struct verdict {
    call_result last;
    bool ever_maybe_run = false;  // some try was not told "not run"
};

// Sends through one entry after the other until it is told something for certain.
verdict ask_until_told(const crew& daemons, std::size_t first, const call_work& work) {
    verdict out;
    for (std::size_t i = 0; i < most_tries; ++i) {
        out.last = daemons.submit((first + i) % daemons.size(), work);
        const bool answered = out.last.status == ok;
        const bool unknown = out.last.status != 0 && out.last.reason() == "outcome_unknown";
        out.ever_maybe_run = out.ever_maybe_run || !out.last.not_run();
        if (answered || unknown) {
            return out;
        }
    }
    return out;
}

class repeated_sends : public ::testing::Test {
protected:
    std::future<verdict> ask(std::size_t entry, const call_work& work) {
        return std::async(std::launch::async,
                          [this, entry, work] { return ask_until_told(daemons_, entry, work); });
    }

    int draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

    void send_and_kill(int round) {
        for (int i = 0; i < works; ++i) {
            const call_work work = marked(mark_of(round, i), draw(longest_task_ms));
            first_.push_back(ask(0, work));
            second_.push_back(ask(1, work));
            marks_.push_back(mark_of(round, i));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(longest_wait_ms)));
        const auto owner = daemons_.owner_of("nc-a");
        const std::size_t victim = owner.value_or(0);
        daemons_.kill(victim);
        daemons_.restart(victim);
    }

    void check(const std::string& mark, const verdict& one, const verdict& other,
               const std::set<std::string>& started) {
        for (const auto& it : {one, other}) {
            const bool told = it.last.status == ok || it.last.reason() == "outcome_unknown";
            EXPECT_TRUE(told) << mark << ": " << it.last.status << " " << it.last.body;
        }
        if (one.last.status == ok && other.last.status == ok) {
            EXPECT_EQ(one.last.body.at("answers"), other.last.body.at("answers")) << mark;
        }
        const bool answered = one.last.status == ok || other.last.status == ok;
        EXPECT_TRUE(!answered || started.count(mark) > 0) << mark;
        if (!one.ever_maybe_run && !other.ever_maybe_run) {
            EXPECT_EQ(started.count(mark), 0U) << mark << " was refused as not run";
        }
    }

    crew daemons_;
    std::mt19937 random_{seed};
    std::vector<std::future<verdict>> first_;
    std::vector<std::future<verdict>> second_;
    std::vector<std::string> marks_;
};

TEST_F(repeated_sends, start_the_work_once) {
    daemons_.set_platform_faults({{"lose_permille", lost_answers_permille}, {"seed", seed}});
    for (int i = 0; i < kills; ++i) {
        send_and_kill(i);
    }
    daemons_.set_platform_faults(json::object());
    std::vector<verdict> first;
    std::vector<verdict> second;
    for (std::size_t i = 0; i < marks_.size(); ++i) {
        first.push_back(first_[i].get());
        second.push_back(second_[i].get());
    }
    const auto started = daemons_.judge().at("marks").get<std::set<std::string>>();
    for (std::size_t i = 0; i < marks_.size(); ++i) {
        check(marks_[i], first[i], second[i], started);
    }
    EXPECT_EQ(daemons_.breaches(), "");
}

}  // namespace
