// A request passes through the client and the server, and the complete response returns. A request
// to a closed port is distinguished from a lost response.
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace cranberrydock::net;
using cranberrydock::base::milliseconds;

constexpr milliseconds long_timeout{10'000};

class echo_handler final : public http_handler {
public:
    void handle(http_request request, http_responder respond) override {
        if (request.path == "/silent") {
            pending_responders.push_back(std::move(respond));
            return;
        }
        respond({200, {{"X-Seen", request.parameter("q")}}, request.body});
    }

    std::vector<http_responder> pending_responders;
};

class http_round_trip : public ::testing::Test {
protected:
    http_result call(const endpoint& to, http_request request, milliseconds timeout) {
        std::optional<http_result> got;
        client_->send(to, std::move(request), timeout, [&](http_result result) {
            got = std::move(result);
            loop_.stop();
        });
        loop_.run();
        return *got;
    }

    event_loop loop_;
    echo_handler handler_;
    std::unique_ptr<http_server> server_ = std::make_unique<http_server>(
        loop_, endpoint{"127.0.0.1", 0}, http_server_limits{}, handler_);
    std::unique_ptr<http_client> client_ = make_http_client(loop_, {});
};

TEST_F(http_round_trip, transfers_large_body_completely) {
    constexpr std::size_t large = 3 * 1024 * 1024;
    const std::string body(large, 'x');
    const auto got = call(server_->listen_endpoint(),
                          {http_method::post, "/echo", "q=a%20b", {}, body}, long_timeout);
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(got->status, 200);
    EXPECT_EQ(got->header("x-seen"), "a b");
    EXPECT_EQ(got->body, body);
}

TEST_F(http_round_trip, serves_consecutive_requests) {
    for (int i = 0; i < 3; ++i) {
        const auto got = call(server_->listen_endpoint(),
                              {http_method::post, "/echo", "", {}, "again"}, long_timeout);
        ASSERT_TRUE(got.has_value());
        EXPECT_EQ(got->body, "again");
    }
}

TEST_F(http_round_trip, reports_not_sent_on_closed_port) {
    const endpoint gone = server_->listen_endpoint();
    server_.reset();
    const auto got = call(gone, {http_method::get, "/", "", {}, ""}, long_timeout);
    ASSERT_FALSE(got.has_value());
    EXPECT_EQ(got.error().failure, http_failure::not_sent);
}

TEST_F(http_round_trip, reports_answer_lost_at_deadline) {
    const auto got = call(server_->listen_endpoint(), {http_method::get, "/silent", "", {}, ""},
                          milliseconds{50});
    ASSERT_FALSE(got.has_value());
    EXPECT_EQ(got.error().failure, http_failure::answer_lost);
    // The late response must be dropped.
    handler_.pending_responders.at(0)({200, {}, "late"});
    const auto next = call(server_->listen_endpoint(), {http_method::post, "/echo", "", {}, "next"},
                           long_timeout);
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next->body, "next");
}

}  // namespace
