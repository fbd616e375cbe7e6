// A process that listens on an address proves that no earlier process does.
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>

namespace {

using namespace cranberrydock;

class no_handler final : public net::http_handler {
public:
    void handle(net::http_request /*request*/, net::http_responder /*responder*/) override {}
};

TEST(address_in_use, is_refused_until_its_listener_has_ended) {
    net::event_loop loop;
    no_handler handler;
    std::optional<net::http_server> earlier;
    earlier.emplace(loop, net::endpoint{"127.0.0.1", 0}, net::http_server_limits{}, handler);
    const auto address = earlier->listen_endpoint();
    EXPECT_THROW(net::http_server(loop, address, {}, handler), std::runtime_error);
    earlier.reset();
    EXPECT_NO_THROW(net::http_server(loop, address, {}, handler));
}

}  // namespace
