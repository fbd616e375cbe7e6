// An HTTP answer reaches only the request that it answers, and an incomplete answer is never
// reported as complete. Covers callers that disconnect early, answers that come late or twice, and
// callees that send more or less than they announce. Every answer carries its request's path.
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "standins/raw_http.hpp"

#include <gtest/gtest.h>

#include <future>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::net;
using namespace cranberrydock::standins;

// Holds each request until the test answers it, except those whose path begins with /at-once.
class holding_handler final : public http_handler {
public:
    void handle(http_request request, http_responder respond) override {
        if (request.path.rfind("/at-once", 0) == 0) {
            respond({200, {}, request.path});
        } else {
            held[request.path] = std::move(respond);
        }
    }

    std::map<std::string, http_responder> held;
};

// The server runs in its own thread; the test's thread acts as its callers.
class server_answers : public ::testing::Test {
protected:
    void TearDown() override {
        loop_.stop();
        thread_.join();
    }

    template <typename Action>
    auto on_loop(Action action) {
        std::promise<decltype(action())> out;
        loop_.post([&] { out.set_value(action()); });
        return out.get_future().get();
    }

    void wait_until_held(const std::string& path) {
        while (on_loop([&] { return handler_.held.count(path); }) == 0) {
            std::this_thread::sleep_for(poll_pause);
        }
    }

    std::unique_ptr<raw_connection> send_request(const std::string& path) {
        auto out = std::make_unique<raw_connection>(server_.listen_endpoint());
        out->send_get(path);
        wait_until_held(path);
        return out;
    }

    // Can be called more than once for the same request.
    void answer(const std::string& path) {
        on_loop([&] {
            handler_.held.at(path)({200, {}, path});
            return true;
        });
    }

    // Returns once the server has read everything that was sent before.
    void drain_server_input() {
        raw_connection probe(server_.listen_endpoint());
        probe.send_get("/at-once");
        EXPECT_EQ(probe.read_response_body(), "/at-once");
    }

    event_loop loop_;
    holding_handler handler_;
    http_server server_{loop_, {loopback, 0}, {}, handler_};
    std::thread thread_{[this] { loop_.run(); }};
};

TEST_F(server_answers, late_answers_to_closed_connections_are_dropped) {
    constexpr int rounds = 40;
    constexpr int other_count = 6;
    for (int i = 0; i < rounds; ++i) {
        const std::string round = "/" + std::to_string(i);
        auto closed = send_request("/closed" + round);
        auto reset = send_request("/reset" + round);
        const auto half_closed = send_request("/half" + round);
        closed.reset();
        reset->reset_on_close();
        reset.reset();
        half_closed->end_sending();
        drain_server_input();
        std::vector<std::unique_ptr<raw_connection>> other_connections;
        other_connections.reserve(other_count);
        for (int j = 0; j < other_count; ++j) {
            other_connections.push_back(send_request("/other" + std::to_string(j) + round));
        }
        for (const char* it : {"/closed", "/reset", "/half"}) {
            answer(it + round);
        }
        EXPECT_EQ(half_closed->read_response_body(), "/half" + round);
        for (int j = 0; j < other_count; ++j) {
            const std::string path = "/other" + std::to_string(j) + round;
            raw_connection& connection = *other_connections[static_cast<std::size_t>(j)];
            connection.send_get("/at-once" + path);
            answer(path);
            EXPECT_EQ(connection.read_response_body(), path);
            EXPECT_EQ(connection.read_response_body(), "/at-once" + path);
        }
    }
    EXPECT_EQ(on_loop([&] { return server_.open_requests(); }), 0U);
}

TEST_F(server_answers, second_answer_to_a_request_is_dropped) {
    constexpr int callers = 40;
    std::vector<std::unique_ptr<raw_connection>> connections;
    connections.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        const std::string number = std::to_string(i);
        connections.push_back(send_request("/first" + number));
        answer("/first" + number);
        EXPECT_EQ(connections.back()->read_response_body(), "/first" + number);
        connections.back()->send_get("/next" + number);
        wait_until_held("/next" + number);
    }
    for (int i = 0; i < callers; ++i) {
        answer("/first" + std::to_string(i));
    }
    for (int i = 0; i < callers; ++i) {
        const std::string path = "/next" + std::to_string(i);
        answer(path);
        EXPECT_EQ(connections[static_cast<std::size_t>(i)]->read_response_body(), path);
    }
}

using client_calls = scripted_server_test;

std::string text_of(const http_result& result) {
    return result ? std::to_string(result->status) + " " + result->body : result.error().detail;
}

TEST_F(client_calls, bytes_after_an_answer_are_ignored) {
    const std::vector<std::string> surplus{response_text("surplus"), "x",
                                           "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"};
    for (const auto& it : surplus) {
        EXPECT_EQ(count_answered_calls([&](raw_connection& caller, const std::string& path) {
                      caller.send_text(response_text(path) + it);
                      return true;
                  }),
                  8);
    }
}

TEST_F(client_calls, answer_received_before_the_call_is_ignored) {
    std::promise<void> first_answered;
    std::promise<void> surplus_sent;
    const scripted_server callee([&](raw_connection& caller, const std::string& path) {
        caller.send_text(response_text(path));
        if (path == "/first") {
            first_answered.get_future().wait();
            caller.send_text(response_text("surplus"));
            surplus_sent.set_value();
        }
        return true;
    });
    client_ = make_http_client(loop_, {});
    EXPECT_EQ(text_of(call(callee.address(), "/first", generous_timeout)), "200 /first");
    first_answered.set_value();
    surplus_sent.get_future().wait();
    EXPECT_EQ(text_of(call(callee.address(), "/next", generous_timeout)), "200 /next");
    client_.reset();
}

TEST_F(client_calls, body_after_no_content_status_is_ignored) {
    const scripted_server callee([](raw_connection& caller, const std::string& path) {
        caller.send_text(path == "/empty" ? "HTTP/1.1 204 Empty\r\n\r\n" + response_text("surplus")
                                          : response_text(path));
        return true;
    });
    client_ = make_http_client(loop_, {});
    EXPECT_EQ(text_of(call(callee.address(), "/empty", generous_timeout)), "204 ");
    EXPECT_EQ(text_of(call(callee.address(), "/next", generous_timeout)), "200 /next");
    client_.reset();
}

TEST_F(client_calls, interim_answer_is_not_the_final_answer) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    EXPECT_EQ(count_answered_calls([&](raw_connection& caller, const std::string& path) {
                  caller.send_text(interim + response_text(path));
                  return true;
              }),
              0);
    // The callee answers a request only when the next request of the connection has arrived.
    std::map<const raw_connection*, std::string> last_paths;
    EXPECT_EQ(count_answered_calls([&](raw_connection& caller, const std::string& path) {
                  std::string& last_path = last_paths[&caller];
                  caller.send_text(last_path.empty() ? interim : response_text(last_path));
                  last_path = path;
                  return true;
              }),
              0);
}

TEST_F(client_calls, truncated_answer_is_rejected) {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> truncated{"",
                                             "HTTP/1.1 200 OK\r\nContent-Len",
                                             "HTTP/1.1 200 OK\r\nContent-Length: 1",
                                             "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n/",
                                             "HTTP/1.1 100 Continue\r\n\r\n",
                                             chunked + "c\r\n/",
                                             chunked + "1\r\n/\r\n",
                                             chunked + "1\r\n/\r\n0\r\n"};
    for (const auto& it : truncated) {
        EXPECT_EQ(count_answered_calls([&](raw_connection& caller, const std::string& /*path*/) {
                      caller.send_text(it);
                      return false;
                  }),
                  0)
            << it;
    }
}

TEST_F(client_calls, answer_to_timed_out_call_is_ignored) {
    EXPECT_EQ(count_answered_calls(
                  [](raw_connection& caller, const std::string& path) {
                      if (path == "/3" || path == "/4") {
                          std::this_thread::sleep_for(2 * short_wait);
                      }
                      caller.send_text(response_text(path));
                      return true;
                  },
                  short_wait),
              6);
}

}  // namespace
