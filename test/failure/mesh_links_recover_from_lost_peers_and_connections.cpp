// Connections that become unresponsive or break are detected and reopened. A daemon that comes back
// under a new id is linked again, and a daemon with a wrong secret is refused.
#include <gtest/gtest.h>
#include <standins/mesh_node.hpp>
#include <standins/tcp_relay.hpp>

#include <optional>

namespace {

using namespace cranberrydock;
using standins::mesh_node;
using standins::mesh_test_loop;
using standins::tcp_relay;

constexpr base::milliseconds silence_limit{400};

mesh_node::options quick_options(const char* id) {
    mesh_node::options out{id};
    out.silence_deadline = silence_limit;
    return out;
}

// Connection indices, in the order in which a daemon dials.
constexpr std::size_t control = 0;
constexpr std::size_t bulk = 1;

class mesh_links : public ::testing::Test {
protected:
    void link_through_relay() {
        a_.mesh->set_peers({b_->as_peer(relay_.listen_endpoint())});
        b_->mesh->set_peers({a_.as_peer()});
        ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_->link_is_up; }));
    }

    void expect_delivery() {
        ASSERT_TRUE(a_.mesh->send(b_->id, mesh::cells_offered{}));
        ASSERT_TRUE(b_->mesh->send(a_.id, mesh::cells_offered{}));
        EXPECT_TRUE(
            test_loop_.run_until([&] { return !a_.messages.empty() && !b_->messages.empty(); }));
    }

    void expect_recovery_of_unresponsive(std::size_t connection) {
        link_through_relay();
        relay_.stall_connection(connection);
        ASSERT_TRUE(test_loop_.run_until(
            [&] { return a_.link_down_count > 0 && b_->link_down_count > 0; }));
        ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_->link_is_up; }));
        EXPECT_EQ(relay_.accepted_count(), 3U);  // only the unresponsive connection was reopened
        mesh::config_announcement large;
        large.document.assign(200'000, 'x');
        EXPECT_TRUE(a_.mesh->send(b_->id, large));
        EXPECT_TRUE(test_loop_.run_until([&] { return b_->messages.size() == 1; }));
        expect_delivery();
    }

    mesh_test_loop test_loop_;
    mesh_node a_{test_loop_, quick_options("a")};
    std::optional<mesh_node> b_{std::in_place, test_loop_, quick_options("b")};
    tcp_relay relay_{test_loop_.loop, b_->mesh->listen_endpoint()};
};

TEST_F(mesh_links, reopen_unresponsive_connections) {
    link_through_relay();
    const base::time_point silenced_at = test_loop_.clock.now();
    relay_.stall_open_connections();
    ASSERT_TRUE(
        test_loop_.run_until([&] { return a_.link_down_count > 0 && b_->link_down_count > 0; }));
    // The link does not go down immediately, since the other end may only be slow.
    EXPECT_GE(test_loop_.clock.now() - silenced_at, silence_limit / 2);
    EXPECT_GT(a_.counter("mesh_links_down_total", "reason=\"silent\""), 0U);
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_->link_is_up; }));
    EXPECT_GE(relay_.accepted_count(), 4U);
    expect_delivery();
}

TEST_F(mesh_links, reopen_only_unresponsive_control_connection) {
    expect_recovery_of_unresponsive(control);
}

TEST_F(mesh_links, reopen_only_unresponsive_bulk_connection) {
    expect_recovery_of_unresponsive(bulk);
}

TEST_F(mesh_links, reopen_broken_connections) {
    link_through_relay();
    relay_.cut_open_connections();
    ASSERT_TRUE(
        test_loop_.run_until([&] { return a_.link_down_count > 0 && b_->link_down_count > 0; }));
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_->link_is_up; }));
    expect_delivery();
}

TEST_F(mesh_links, connect_to_daemon_restarted_under_new_id) {
    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, *b_));
    const net::endpoint address = b_->mesh->listen_endpoint();
    b_.reset();
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_down_count > 0; }));
    mesh_node::options restarted = quick_options("b2");
    restarted.listen = address;
    b_.emplace(test_loop_, restarted);
    b_->mesh->set_peers({a_.as_peer()});
    // The restarted daemon refuses the old id however often it is dialed.
    ASSERT_TRUE(test_loop_.run_until(
        [&] { return b_->counter("mesh_authentications_failed_total", "reason=\"proof\"") > 0; }));
    EXPECT_FALSE(a_.link_is_up);
    a_.mesh->set_peers({b_->as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_->link_is_up; }));
    expect_delivery();
}

TEST_F(mesh_links, refuse_daemon_with_wrong_secret) {
    mesh_node::options wrong_options = quick_options("c");
    wrong_options.secret = "another secret";
    mesh_node c(test_loop_, wrong_options);
    a_.mesh->set_peers({c.as_peer()});
    c.mesh->set_peers({a_.as_peer()});
    const std::string proof = "reason=\"proof\"";
    ASSERT_TRUE(test_loop_.run_until(
        [&] { return c.counter("mesh_authentications_failed_total", proof) >= 3; }));
    EXPECT_FALSE(a_.mesh->send(c.id, mesh::cells_offered{}));
    EXPECT_EQ(a_.link_up_count + c.link_up_count, 0);
    EXPECT_EQ(a_.heartbeat_count + c.heartbeat_count, 0);
    EXPECT_EQ(c.counter("mesh_connections_opened_total", "channel=\"control\""), 0U);
    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, *b_));
    expect_delivery();
}

TEST_F(mesh_links, close_link_to_removed_peer) {
    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, *b_));
    a_.mesh->set_peers({});
    EXPECT_EQ(a_.link_down_count, 1);
    EXPECT_TRUE(test_loop_.run_until([&] { return b_->link_down_count == 1; }));
    EXPECT_TRUE(a_.mesh->links().empty());
}

}  // namespace
