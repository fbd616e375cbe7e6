// Many requests with large, distinct answers run concurrently through every entry. VMs answer late
// and out of order, and some callers disconnect and come back through another entry. Each caller
// gets its own complete answer: the length, content and digest are as the VM produced them.
#include <cranberrydock/base/digest.hpp>

#include "standins/cell_cluster.hpp"
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
constexpr int large_answer_interval = 9;  // one answer in this many has some megabytes
constexpr int large_bytes = 3'000'000;
constexpr int small_bytes = 40'000;
constexpr int disconnect_interval = 4;
constexpr base::milliseconds disconnect_after{150};

std::string key_of(int i) {
    return "own-" + std::to_string(i) + ";";
}

std::size_t answer_size_of(int i) {
    const int bytes = i % large_answer_interval == 0 ? large_bytes : small_bytes;
    return static_cast<std::size_t>(bytes) + static_cast<std::size_t>(i);
}

json payload_of(int i) {
    return {
        {"for_ms", 20 + i * 7 % 90}, {"answer", key_of(i)}, {"answer_bytes", answer_size_of(i)}};
}

net::http_request request_of(int i) {
    const json body = {{"queue", i % 2 == 0 ? "previews" : "mosaics"},
                       {"kind", "test"},
                       {"repeatable", true},
                       {"deadline_ms", generous_timeout.count()},
                       {"payload", payload_of(i).dump()}};
    return {
        net::http_method::post, "/v1/requests", "", {{"Idempotency-Key", key_of(i)}}, body.dump()};
}

class concurrent_answers : public ::testing::Test {
protected:
    // Some callers disconnect before the answer arrives, and retry with the same key through
    // another entry.
    net::http_result submit(int i) const {
        const auto entry = static_cast<std::size_t>(i) % daemons_.size();
        if (i % disconnect_interval == 0) {
            call(daemons_.entry(entry), request_of(i), disconnect_after);
        }
        const std::size_t final_entry =
            i % disconnect_interval == 0 ? (entry + 1) % daemons_.size() : entry;
        return call(daemons_.entry(final_entry), request_of(i), generous_timeout);
    }

    void delay_vms() const {
        int vm_number = 0;
        const json listing = daemons_.list_vms();
        for (const auto& it : listing.at("vms")) {
            ++vm_number;
            daemons_.command_vm(it.at("id"), "delay",
                                {{"command_ms", 10 * vm_number}, {"answer_ms", 180 / vm_number}});
        }
    }

    cell_cluster daemons_;
};

void expect_own_answer(int i, const net::http_result& result) {
    ASSERT_TRUE(result.has_value()) << i << ": " << result.error().detail;
    const json body = json::parse(result->body, nullptr, false);
    ASSERT_EQ(result->status, ok) << i << ": " << result->body.substr(0, 400);
    ASSERT_EQ(body.at("answers").size(), 1U);
    const json& answer = body.at("answers").at(0);
    const auto content = answer.at("content").get<std::string>();
    const std::string expected = parse_work(payload_of(i).dump()).answer;
    EXPECT_EQ(content.size(), answer_size_of(i));
    EXPECT_TRUE(content == expected) << i << " got " << content.substr(0, 40);
    EXPECT_EQ(answer.at("digest"), base::sha256_hex(expected));
}

TEST_F(concurrent_answers, are_matched_to_their_requests) {
    delay_vms();
    std::vector<std::future<net::http_result>> calls;
    calls.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        calls.push_back(std::async(std::launch::async, [this, i] { return submit(i); }));
    }
    for (int i = 0; i < callers; ++i) {
        expect_own_answer(i, calls.at(static_cast<std::size_t>(i)).get());
    }
    EXPECT_EQ(daemons_.violations(), "");
}

}  // namespace
