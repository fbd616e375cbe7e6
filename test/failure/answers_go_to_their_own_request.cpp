// Many requests with large, distinct answers run at once through every entry while VMs answer late
// and out of order, and some callers go away and come back through another entry. Each gets its own
// answer, whole: its length, its content and its digest are as the VM made them.
#include <cranberrydock/base/digest.hpp>

#include "standins/crew.hpp"
#include "standins/simulated_work.hpp"

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int callers = 36;
constexpr int largest_every = 9;  // requests with an answer of some megabytes
constexpr int large_bytes = 3'000'000;
constexpr int small_bytes = 40'000;
constexpr int goes_away_every = 4;
constexpr base::milliseconds soon_gone{150};

std::string name_of(int i) {
    return "own-" + std::to_string(i) + ";";
}

std::size_t size_of(int i) {
    const int bytes = i % largest_every == 0 ? large_bytes : small_bytes;
    return static_cast<std::size_t>(bytes) + static_cast<std::size_t>(i);
}

json payload_of(int i) {
    return {{"for_ms", 20 + i * 7 % 90}, {"answer", name_of(i)}, {"answer_bytes", size_of(i)}};
}

net::http_request request_of(int i) {
    const json body = {{"queue", i % 2 == 0 ? "previews" : "mosaics"},
                       {"kind", "test"},
                       {"repeatable", true},
                       {"deadline_ms", generous.count()},
                       {"payload", payload_of(i).dump()}};
    return {
        net::http_method::post, "/v1/requests", "", {{"Idempotency-Key", name_of(i)}}, body.dump()};
}

class crossed_answers : public ::testing::Test {
protected:
    // Some go away before the answer comes, and come back with the same key through another entry.
    net::http_result ask(int i) const {
        const auto entry = static_cast<std::size_t>(i) % daemons_.size();
        if (i % goes_away_every == 0) {
            call(daemons_.entry(entry), request_of(i), soon_gone);
        }
        const std::size_t second = i % goes_away_every == 0 ? (entry + 1) % daemons_.size() : entry;
        return call(daemons_.entry(second), request_of(i), generous);
    }

    void delay_vms() const {
        int n = 0;
        const json seen = daemons_.list_vms();
        for (const auto& it : seen.at("vms")) {
            ++n;
            daemons_.command_vm(it.at("id"), "delay",
                                {{"command_ms", 10 * n}, {"answer_ms", 180 / n}});
        }
    }

    crew daemons_;
};

void expect_own_answer(int i, const net::http_result& result) {
    ASSERT_TRUE(result.has_value()) << i << ": " << result.error().detail;
    const json body = json::parse(result->body, nullptr, false);
    ASSERT_EQ(result->status, ok) << i << ": " << result->body.substr(0, 400);
    ASSERT_EQ(body.at("answers").size(), 1U);
    const json& answer = body.at("answers").at(0);
    const auto content = answer.at("content").get<std::string>();
    const std::string expected = read_work(payload_of(i).dump()).answer;
    EXPECT_EQ(content.size(), size_of(i));
    EXPECT_TRUE(content == expected) << i << " got " << content.substr(0, 40);
    EXPECT_EQ(answer.at("digest"), base::sha256_hex(expected));
}

TEST_F(crossed_answers, go_to_their_own_request) {
    delay_vms();
    std::vector<std::future<net::http_result>> running;
    running.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        running.push_back(std::async(std::launch::async, [this, i] { return ask(i); }));
    }
    for (int i = 0; i < callers; ++i) {
        expect_own_answer(i, running.at(static_cast<std::size_t>(i)).get());
    }
    EXPECT_EQ(daemons_.breaches(), "");
}

}  // namespace
