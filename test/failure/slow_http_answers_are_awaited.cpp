// Checks what the HTTP client does when answers arrive slowly, stop arriving, or never begin
// because all connections of a caller have become unresponsive together. It waits for an answer
// that is still arriving, and unresponsive connections fail only one call.
#include "standins/raw_http.hpp"

#include <map>
#include <mutex>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::net;
using namespace cranberrydock::standins;

using slow_answers = scripted_server_test;

// A large answer over a slow link is complete long after the timeout. To send the request again
// would only load the link more.
TEST_F(slow_answers, are_awaited_while_bytes_arrive) {
    EXPECT_EQ(count_answered_calls(
                  [](raw_connection& caller, const std::string& path) {
                      for (const char it : response_text(path)) {
                          caller.send_text(std::string(1, it));
                          std::this_thread::sleep_for(2 * poll_pause);
                          if (it == '\n') {
                              std::this_thread::sleep_for(short_wait / 4);
                          }
                      }
                      return true;
                  },
                  short_wait),
              8);
}

// On a saturated link, an answer can pause for longer than a fast answer takes in total.
TEST_F(slow_answers, are_awaited_through_pauses_under_half_the_timeout) {
    constexpr base::milliseconds timeout{1'200};
    constexpr base::milliseconds pause{540};
    constexpr std::size_t pieces = 4;
    EXPECT_EQ(count_answered_calls(
                  [&](raw_connection& caller, const std::string& path) {
                      const std::string text = response_text(path);
                      for (std::size_t i = 0; i < pieces; ++i) {
                          const std::size_t begin = i * text.size() / pieces;
                          const std::size_t end = (i + 1) * text.size() / pieces;
                          caller.send_text(text.substr(begin, end - begin));
                          std::this_thread::sleep_for(pause);
                      }
                      return true;
                  },
                  timeout),
              8);
}

TEST_F(slow_answers, time_out_when_bytes_stop_arriving) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(
        count_answered_calls(
            [](raw_connection& caller, const std::string& path) {
                caller.send_text(response_text(path).substr(0, response_text(path).size() - 1));
                std::this_thread::sleep_for(8 * short_wait);
                return false;
            },
            short_wait),
        0);
    const auto time_per_call = (std::chrono::steady_clock::now() - begin) / 8;
    EXPECT_LT(time_per_call, 4 * short_wait);
}

// All open connections of a caller become unresponsive at once while new ones work. Only one call
// fails because of them.
TEST_F(slow_answers, unresponsive_pooled_connections_fail_one_call) {
    std::mutex mutex;
    std::map<const raw_connection*, int> answer_counts;
    const scripted_server callee([&](raw_connection& caller, const std::string& path) {
        bool unresponsive = false;
        {
            const std::lock_guard lock(mutex);
            unresponsive = answer_counts[&caller]++ > 0;
        }
        std::this_thread::sleep_for(unresponsive ? 8 * short_wait : short_wait / 4);
        caller.send_text(response_text(path));
        return !unresponsive;
    });
    client_ = make_http_client(loop_, {});
    int open_calls = 3;
    for (int i = 0; i < 3; ++i) {
        client_->send(callee.address(), {http_method::get, "/first", "", {}, ""}, generous_timeout,
                      [&](const http_result& result) {
                          EXPECT_TRUE(result.has_value());
                          if (--open_calls == 0) {
                              loop_.stop();
                          }
                      });
    }
    loop_.run();
    EXPECT_FALSE(call(callee.address(), "/silent", short_wait).has_value());
    EXPECT_TRUE(call(callee.address(), "/next", short_wait).has_value());
    client_.reset();
}

}  // namespace
