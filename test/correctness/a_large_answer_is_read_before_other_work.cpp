// An answer of a megabyte to a busy loop: the client that reads first has it while the loop's other
// work waits. Load: an owner's feed of the jobs while the VMs' reports keep its loop busy.
#include <cranberrydock/net/http_client.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "standins/cluster.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::net;

constexpr std::size_t large = 1'300'000;
constexpr base::milliseconds busy_a_turn{5};
constexpr base::milliseconds deadline{1'400};  // of a question about changes

class large_answers final : public http_handler {
public:
    void handle(http_request /*request*/, http_responder respond) override {
        constexpr int ok = 200;
        respond({ok, {}, std::string(large, 'x')});
    }
};

TEST(large_answer, is_read_before_other_work) {
    event_loop server_loop;
    large_answers handler;
    http_server server(server_loop, {"127.0.0.1", 0}, {}, handler);
    std::thread serving([&] { server_loop.run(); });
    event_loop loop;
    std::size_t read = 0;
    const auto client = make_http_client(loop, {4, base::milliseconds{2'000}, true});
    client->send(server.listening_on(), {http_method::get, "/", "", {}, ""}, deadline,
                 [&](const http_result& result) {
                     read = result ? result->body.size() : 0;
                     loop.stop();
                 });
    const auto busy =
        loop.every(base::milliseconds{1}, [] { std::this_thread::sleep_for(busy_a_turn); });
    loop.run();
    server_loop.stop();
    serving.join();
    EXPECT_EQ(read, large);
}

}  // namespace
