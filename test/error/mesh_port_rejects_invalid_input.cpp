// Invalid input to the mesh port, from unknown clients or from a faulty peer, is refused and
// counted, and the links to other peers keep working.
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <standins/mesh_node.hpp>
#include <standins/tcp_relay.hpp>
#include <sys/socket.h>

#include <string>

namespace {

using namespace cranberrydock;
using standins::mesh_node;
using standins::mesh_test_loop;
using standins::tcp_relay;

// A TCP client that sends raw bytes and waits for the other end to close.
class raw_client {
public:
    raw_client(mesh_test_loop& test_loop, const net::endpoint& to, const std::string& bytes)
        : test_loop_(test_loop),
          bev_(bufferevent_socket_new(test_loop.loop.raw(), -1,
                                      BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_setcb(bev_, nullptr, nullptr, &raw_client::on_event, this);
        bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        bufferevent_write(bev_, bytes.data(), bytes.size());
        bufferevent_enable(bev_, EV_READ | EV_WRITE);
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client() { bufferevent_free(bev_); }

    bool closed = false;

private:
    static void on_event(bufferevent* /*bev*/, short events, void* self) {
        auto* client = static_cast<raw_client*>(self);
        client->closed = (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        client->test_loop_.check_condition();
    }

    mesh_test_loop& test_loop_;
    bufferevent* bev_;
};

const char* const upgrade =
    "GET /mesh HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// A masked binary frame with a mask of zeros, so that the payload is sent unchanged.
std::string frame_of(const std::string& payload) {
    return std::string("\x82", 1) + static_cast<char>(0x80 | payload.size()) +
           std::string(4, '\0') + payload;
}

class mesh_port : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, b_)); }

    std::uint64_t refused(const char* reason) const {
        return b_.counter("mesh_authentications_failed_total",
                          std::string("reason=\"") + reason + "\"");
    }

    // Expects that the input is refused for this reason, its connection is closed, and the link
    // still works.
    void expect_refused(const std::string& bytes, const char* reason) {
        const std::uint64_t before = refused(reason);
        raw_client client(test_loop_, b_.mesh->listen_endpoint(), bytes);
        EXPECT_TRUE(
            test_loop_.run_until([&] { return client.closed && refused(reason) > before; }));
        expect_link_works();
    }

    void expect_link_works() {
        const std::size_t n = b_.messages.size();
        ASSERT_TRUE(a_.mesh->send(b_.id, mesh::cells_offered{}));
        EXPECT_TRUE(test_loop_.run_until([&] { return b_.messages.size() == n + 1; }));
    }

    mesh_test_loop test_loop_;
    mesh_node a_{test_loop_, {"a"}};
    mesh_node b_{test_loop_, {"b"}};
};

TEST_F(mesh_port, refuses_non_websocket_input) {
    expect_refused("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "opening");
    expect_refused("POST /mesh HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "opening");
    expect_refused(std::string(100'000, '\xfe'), "opening");
    expect_refused("\r\n\r\n\r\n\r\n", "opening");
}

TEST_F(mesh_port, refuses_frames_without_valid_proof) {
    expect_refused(upgrade + frame_of("hello"), "proof");
    expect_refused(upgrade + frame_of(""), "proof");
    expect_refused(upgrade + frame_of("\xa1\x68protocol"), "proof");  // truncated CBOR
    expect_refused(upgrade + frame_of(std::string(60, '\x81')), "proof");
    expect_refused(upgrade + std::string("\xff\xff\xff\xff\xff\xff\xff\xff"), "opening");
}

TEST_F(mesh_port, closes_unauthenticated_connections_at_deadline) {
    mesh_node::options short_deadline{"c"};
    short_deadline.silence_deadline = base::milliseconds{100};
    mesh_node c(test_loop_, short_deadline);
    raw_client silent(test_loop_, c.mesh->listen_endpoint(), "");
    raw_client unauthenticated(test_loop_, c.mesh->listen_endpoint(), upgrade);
    EXPECT_TRUE(test_loop_.run_until([&] { return silent.closed && unauthenticated.closed; }));
    EXPECT_EQ(c.counter("mesh_authentications_failed_total", "reason=\"deadline\""), 2U);
}

// Indexes of the relay's connections. A daemon dials its control connection first, and then the
// bulk connection.
constexpr std::size_t control = 0;
constexpr std::size_t bulk = 1;

class mesh_behind_relay : public mesh_port {
protected:
    void SetUp() override {
        a_.mesh->set_peers({b_.as_peer(relay_.listen_endpoint())});
        b_.mesh->set_peers({a_.as_peer()});
        ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_.link_is_up; }));
    }

    std::uint64_t malformed() const {
        return a_.counter("mesh_frames_refused_total", "reason=\"malformed\"");
    }

    tcp_relay relay_{test_loop_.loop, b_.mesh->listen_endpoint()};
};

// The sender must send no heartbeat meanwhile, because a damaged heartbeat ends the connection (see
// the next test).
TEST_F(mesh_behind_relay, refuses_damaged_messages_and_keeps_link) {
    mesh_node::options rare{"c"};
    rare.heartbeat_period = base::seconds{100};
    rare.silence_deadline = base::seconds{300};
    mesh_node c(test_loop_, rare);
    rare.id = "d";
    mesh_node d(test_loop_, rare);
    tcp_relay relay(test_loop_.loop, d.mesh->listen_endpoint());
    c.mesh->set_peers({d.as_peer(relay.listen_endpoint())});
    d.mesh->set_peers({c.as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] { return c.link_is_up && d.link_is_up; }));
    relay.corrupt_answers(control, true);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        ASSERT_TRUE(d.mesh->send(c.id, mesh::cells_offered{}));
        ASSERT_TRUE(test_loop_.run_until(
            [&] { return c.counter("mesh_frames_refused_total", "reason=\"malformed\"") == n; }));
    }
    EXPECT_TRUE(c.messages.empty());
    relay.corrupt_answers(control, false);
    ASSERT_TRUE(d.mesh->send(c.id, mesh::cells_offered{}));
    EXPECT_TRUE(test_loop_.run_until([&] { return c.messages.size() == 1; }));
    EXPECT_EQ(c.link_down_count + d.link_down_count, 0);
}

TEST_F(mesh_behind_relay, reopens_connection_after_damaged_link_frame) {
    int downs = 0;
    for (const std::size_t it : {bulk, control}) {
        relay_.corrupt_answers(it, true);
        ++downs;
        ASSERT_TRUE(test_loop_.run_until([&] {
            return a_.link_down_count == downs && malformed() == static_cast<std::uint64_t>(downs);
        }));
        ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_.link_is_up; }));
        expect_link_works();
    }
}

TEST_F(mesh_port, closes_connection_after_oversized_frame) {
    mesh_node::options narrow{"c"};
    narrow.max_frame = base::byte_count{1'000};
    mesh_node c(test_loop_, narrow);
    a_.mesh->set_peers({b_.as_peer(), c.as_peer()});
    c.mesh->set_peers({a_.as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] { return c.link_is_up && a_.link_up_count >= 2; }));
    ASSERT_TRUE(a_.mesh->send(
        c.id, mesh::config_announcement{base::config_version(1), std::string(2'000, 'x')}));
    ASSERT_TRUE(test_loop_.run_until([&] { return c.link_down_count == 1; }));
    EXPECT_EQ(c.counter("mesh_frames_refused_total", "reason=\"protocol\""), 1U);
    EXPECT_TRUE(c.messages.empty());
    EXPECT_TRUE(test_loop_.run_until([&] { return c.link_is_up; }));
    expect_link_works();
}

}  // namespace
