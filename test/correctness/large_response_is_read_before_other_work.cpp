// A response of a megabyte arrives while the event loop is busy. The client must read it before the
// other work of the loop continues, and so receive it within the deadline. Load: the change feed of
// the jobs at an owner whose loop is busy with reports of VMs.
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "standins/cluster.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::net;

constexpr std::size_t response_bytes = 1'300'000;
constexpr base::milliseconds busy_time_per_turn{5};
constexpr base::milliseconds deadline{1'400};  // of a change feed call

class large_answers final : public http_handler {
public:
    void handle(http_request /*request*/, http_responder respond) override {
        constexpr int ok = 200;
        respond({ok, {}, std::string(response_bytes, 'x')});
    }
};

TEST(large_response, is_read_before_other_work) {
    event_loop server_loop;
    large_answers handler;
    http_server server(server_loop, {"127.0.0.1", 0}, {}, handler);
    std::thread serving([&] { server_loop.run(); });
    event_loop loop;
    std::size_t bytes_read = 0;
    const auto client = make_http_client(loop, {4, base::milliseconds{2'000}, true});
    client->send(server.listen_endpoint(), {http_method::get, "/", "", {}, ""}, deadline,
                 [&](const http_result& result) {
                     bytes_read = result ? result->body.size() : 0;
                     loop.stop();
                 });
    const auto busy_timer =
        loop.every(base::milliseconds{1}, [] { std::this_thread::sleep_for(busy_time_per_turn); });
    loop.run();
    server_loop.stop();
    serving.join();
    EXPECT_EQ(bytes_read, response_bytes);
}

}  // namespace
