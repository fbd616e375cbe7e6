// The runner client distinguishes requests that ran, failed, were not run, or may have run. A
// response whose digest does not match counts as lost. A runner gets no more calls than allowed.
#include <cranberrydock/platform/runner_client.hpp>

#include "standins/run_checker.hpp"
#include "standins/runner_host.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace cranberrydock;
using platform::runner_error;

constexpr base::milliseconds long_timeout{60'000};
constexpr base::milliseconds short_timeout{100};

// Answers with a digest that does not match the body.
class corrupting_handler final : public net::http_handler {
public:
    void handle(net::http_request /*request*/, net::http_responder respond) override {
        respond({200, {{platform::runner_digest_header, "00"}}, "truncat"});
    }
};

class runner : public ::testing::Test {
protected:
    void start(const net::endpoint& to, const std::string& id, const std::string& body,
               base::milliseconds timeout = long_timeout) {
        ++open_;
        client_->run(to, {base::request_id(id), false, body}, timeout,
                     [this](platform::runner_result result) {
                         results_.push_back(std::move(result));
                         if (--open_ == 0) {
                             loop_.stop();
                         }
                     });
    }

    platform::runner_result run(const net::endpoint& to, const std::string& id,
                                const std::string& body,
                                base::milliseconds timeout = long_timeout) {
        start(to, id, body, timeout);
        loop_.run();
        return results_.back();
    }

    base::monotonic_clock clock_;
    net::event_loop loop_;
    standins::run_checker checker_;
    standins::runner_host host_{
        loop_, clock_, checker_, {base::vm_id("r1"), base::slot_count(2), 4}, {"127.0.0.1", 0}};
    std::unique_ptr<net::http_client> http_ = net::make_http_client(loop_, {});
    std::unique_ptr<platform::runner_client> client_ =
        platform::make_http_runner_client(loop_, *http_, 5);
    int open_ = 0;  // results that the loop still waits for
    std::vector<platform::runner_result> results_;
};

TEST_F(runner, distinguishes_outcomes) {
    const auto answered = run(host_.address(), "q1", R"({"answer":"plan","answer_bytes":100000})");
    ASSERT_TRUE(answered.has_value());
    EXPECT_EQ(answered->content.size(), 100'000U);
    EXPECT_EQ(run(host_.address(), "q2", R"({"fail":"no teak"})").error().error,
              runner_error::failed);
    EXPECT_EQ(run(host_.address(), "q3", R"({"for_ms":-1})", short_timeout).error().error,
              runner_error::answer_lost);
    EXPECT_EQ(checker_.total(), 0) << checker_.json();
    host_.kill();
    run(host_.address(), "q4", "x");  // a kept-alive connection may break first
    EXPECT_EQ(run(host_.address(), "q4", "x").error().error, runner_error::not_sent);
}

TEST_F(runner, second_run_of_non_repeatable_request_is_counted) {
    run(host_.address(), "q1", "x");
    run(host_.address(), "q1", "x");
    EXPECT_EQ(checker_.count(standins::violation::repeated_run), 1);
}

TEST_F(runner, rejects_answer_with_wrong_digest) {
    corrupting_handler handler;
    const net::http_server server(loop_, {"127.0.0.1", 0}, {}, handler);
    const auto lost = run(server.listen_endpoint(), "q1", "x");
    EXPECT_EQ(lost.error().error, runner_error::answer_lost);
    EXPECT_NE(lost.error().detail.find("found 00"), std::string::npos);
}

TEST_F(runner, concurrent_calls_are_limited) {
    constexpr int calls = 6;    // 5 of them are sent to the runner
    constexpr int failing = 2;  // the runner accepts 4 of these 5, to run or to wait
    for (int i = 0; i < calls; ++i) {
        start(host_.address(), "q" + std::to_string(i), R"({"for_ms":-1})");
    }
    open_ = failing;
    loop_.run();
    ASSERT_EQ(results_.size(), 2U);
    EXPECT_EQ(results_[0].error().error, runner_error::not_sent);
    EXPECT_EQ(results_[1].error().error, runner_error::refused);
    EXPECT_EQ(host_.running(), 2);
    EXPECT_EQ(checker_.total(), 0) << checker_.json();
}

}  // namespace
