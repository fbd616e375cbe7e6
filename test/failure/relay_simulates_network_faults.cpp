// Checks the network faults of the relay. Without a fault, a request and its answer pass through.
// Open connections can be silenced permanently while new ones work, a cut link refuses connections,
// and delay and bandwidth slow traffic down at least as much as requested.
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "standins/cluster.hpp"
#include "standins/relay.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

namespace {

using namespace cranberrydock;
using standins::generous_timeout;

constexpr base::milliseconds short_wait{300};

class echo_handler final : public net::http_handler {
public:
    void handle(net::http_request request, net::http_responder respond) override {
        respond({200, {}, request.body});
    }
};

class relay_faults : public ::testing::Test {
protected:
    net::http_result call(base::milliseconds timeout, const std::string& body = "hello") {
        std::optional<net::http_result> out;
        client_->send(link_.listen_endpoint(), {net::http_method::post, "/", "", {}, body}, timeout,
                      [&](net::http_result result) {
                          out = std::move(result);
                          loop_.stop();
                      });
        loop_.run();
        return std::move(*out);
    }

    base::monotonic_clock clock_;
    net::event_loop loop_;
    echo_handler echo_;
    net::http_server server_{loop_, {"127.0.0.1", 0}, {}, echo_};
    standins::relay_link link_{loop_, clock_, {"127.0.0.1", 0}, server_.listen_endpoint()};
    std::unique_ptr<net::http_client> client_ = net::make_http_client(loop_, {});
};

TEST_F(relay_faults, silences_only_open_connections) {
    ASSERT_TRUE(call(generous_timeout).has_value());
    link_.swallow_open_connections();
    const auto unanswered = call(short_wait);  // on the pooled connection
    ASSERT_FALSE(unanswered.has_value());
    EXPECT_EQ(unanswered.error().failure, net::http_failure::answer_lost);
    const auto fresh = call(generous_timeout);
    ASSERT_TRUE(fresh.has_value());
    EXPECT_EQ(fresh->body, "hello");
}

TEST_F(relay_faults, refuses_connections_while_cut) {
    ASSERT_TRUE(call(generous_timeout).has_value());
    link_.cut();
    ASSERT_FALSE(call(generous_timeout).has_value());
    const auto refused = call(generous_timeout);  // on a new connection
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().failure, net::http_failure::not_sent);
    link_.restore();
    EXPECT_TRUE(call(generous_timeout).has_value());
}

TEST_F(relay_faults, black_hole_swallows_new_connections) {
    link_.swallow_all_connections();
    const auto lost = call(short_wait);
    ASSERT_FALSE(lost.has_value());
    EXPECT_EQ(lost.error().failure, net::http_failure::answer_lost);
}

TEST_F(relay_faults, delays_large_bodies_without_loss) {
    constexpr base::milliseconds one_way_delay{50};
    link_.set_delay(one_way_delay);
    const auto started_at = clock_.now();
    const std::string body(5'000'000, 'x');
    const auto echoed = call(generous_timeout, body);
    ASSERT_TRUE(echoed.has_value());
    EXPECT_EQ(echoed->body, body);
    EXPECT_GE(clock_.now() - started_at, 2 * one_way_delay);
}

TEST(relay_program, shares_bandwidth_among_all_links) {
    net::event_loop loop;
    echo_handler echo;
    standins::process relay({"standin_relay", {}, ""});
    const auto control = relay.wait_until_listening(generous_timeout);
    constexpr int bytes_per_second = 400'000;
    standins::post_json(control, "/control/bandwidth", {{"bytes_per_second", bytes_per_second}});
    const net::http_server server(loop, {"127.0.0.1", 0}, {}, echo);
    const auto client = net::make_http_client(loop, {});
    constexpr int link_count = 2;
    const std::string body(100'000, 'x');
    const base::monotonic_clock clock;
    const auto started_at = clock.now();
    int answered = 0;
    for (int i = 0; i < link_count; ++i) {
        const auto link = standins::post_json(control, "/control/links",
                                              {{"target", server.listen_endpoint().text()}});
        client->send(net::parse_endpoint(link.at("listen")),
                     {net::http_method::post, "/", "", {}, body}, generous_timeout,
                     [&](const net::http_result& result) {
                         EXPECT_TRUE(result && result->body == body);
                         if (++answered == link_count) {
                             loop.stop();
                         }
                     });
    }
    loop.run();
    // Each direction carries all bodies one after the other; the burst of the first tick is free.
    constexpr base::milliseconds min_duration{400};
    EXPECT_GE(clock.now() - started_at, min_duration);
}

}  // namespace
