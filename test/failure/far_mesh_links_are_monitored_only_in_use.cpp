// In a large fleet, only a few links of each daemon carry heartbeats at the full rate. The other
// links stay up with infrequent heartbeats, and are monitored closely as soon as they are used.
#include <gtest/gtest.h>
#include <standins/mesh_node.hpp>
#include <standins/tcp_relay.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using standins::mesh_node;
using standins::mesh_test_loop;
using standins::tcp_relay;

constexpr std::size_t daemon_count = 5;  // ten links, of which at most five are near

class far_links : public ::testing::Test {
protected:
    void SetUp() override {
        for (std::size_t i = 0; i < daemon_count; ++i) {
            mesh_node::options options{"daemon-" + std::to_string(i)};
            options.near_peers = 1;
            options.far_period = base::seconds{300};  // longer than any test
            options.active_period = base::milliseconds{200};
            options.silence_deadline = base::milliseconds{500};
            nodes_.push_back(std::make_unique<mesh_node>(test_loop_, options));
            relays_.push_back(std::make_unique<tcp_relay>(test_loop_.loop,
                                                          nodes_.back()->mesh->listen_endpoint()));
        }
        std::vector<mesh::peer> peers;
        for (std::size_t i = 0; i < daemon_count; ++i) {
            peers.push_back(nodes_[i]->as_peer(relays_[i]->listen_endpoint()));
        }
        for (const auto& it : nodes_) {
            it->mesh->set_peers(peers);
        }
        ASSERT_TRUE(test_loop_.run_until([&] {
            return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& it) {
                return it->link_up_count >= static_cast<int>(daemon_count) - 1;
            });
        }));
        ASSERT_TRUE(test_loop_.run_until([&] { return find_far_link(); }));
    }

    mesh::link_status status(std::size_t node, std::size_t peer_node) const {
        const auto links = nodes_[node]->mesh->links();
        return *std::find_if(links.begin(), links.end(),
                             [&](const auto& it) { return it.peer == nodes_[peer_node]->id; });
    }

    // Finds a pair of daemons in which neither end monitors the other. The one with the lower index
    // dials.
    bool find_far_link() {
        for (std::size_t low = 0; low < daemon_count; ++low) {
            for (std::size_t high = low + 1; high < daemon_count; ++high) {
                if (!status(low, high).watched && !status(high, low).watched) {
                    low_ = low;
                    high_ = high;
                    return true;
                }
            }
        }
        return false;
    }

    mesh_node& low() { return *nodes_[low_]; }
    mesh_node& high() { return *nodes_[high_]; }

    mesh_test_loop test_loop_;
    std::vector<std::unique_ptr<mesh_node>> nodes_;
    std::vector<std::unique_ptr<tcp_relay>> relays_;
    std::size_t low_ = 0;
    std::size_t high_ = 0;
};

TEST_F(far_links, stay_up_when_idle_and_carry_messages) {
    const int heartbeats_before = high().heartbeat_count;
    constexpr int heartbeats_to_wait = 100;  // on the near link; longer than several deadlines
    ASSERT_TRUE(test_loop_.run_until(
        [&] { return high().heartbeat_count > heartbeats_before + heartbeats_to_wait; }));
    EXPECT_TRUE(status(low_, high_).up);
    EXPECT_FALSE(status(low_, high_).watched);
    ASSERT_TRUE(low().mesh->send(high().id, mesh::cells_offered{}));
    EXPECT_TRUE(status(low_, high_).watched);
    ASSERT_TRUE(test_loop_.run_until(
        [&] { return high().messages.size() == 1 && status(high_, low_).watched; }));
    // Afterwards both ends stop monitoring again, and no link goes down.
    ASSERT_TRUE(test_loop_.run_until(
        [&] { return !status(low_, high_).watched && !status(high_, low_).watched; }));
    for (const auto& it : nodes_) {
        EXPECT_EQ(it->link_down_count, 0);
    }
}

TEST_F(far_links, are_monitored_when_one_end_requests_it) {
    std::vector<mesh::peer> peers;
    for (std::size_t i = 0; i < daemon_count; ++i) {
        peers.push_back(nodes_[i]->as_peer(relays_[i]->listen_endpoint()));
        peers.back().near = i == high_;
    }
    low().mesh->set_peers(peers);
    EXPECT_TRUE(test_loop_.run_until(
        [&] { return status(low_, high_).watched && status(high_, low_).watched; }));
    relays_[high_]->stall_open_connections();
    EXPECT_TRUE(test_loop_.run_until([&] { return !status(low_, high_).up; }));
}

TEST_F(far_links, are_reopened_when_unresponsive_in_use) {
    relays_[high_]->stall_open_connections();
    EXPECT_TRUE(low().mesh->send(high().id, mesh::cells_offered{}));
    ASSERT_TRUE(test_loop_.run_until([&] { return !status(low_, high_).up; }));
    EXPECT_EQ(low().counter("mesh_links_down_total", "reason=\"silent\""), 1U);
    ASSERT_TRUE(test_loop_.run_until([&] { return status(low_, high_).up; }));
    EXPECT_TRUE(low().mesh->send(high().id, mesh::cells_offered{}));
    EXPECT_TRUE(test_loop_.run_until([&] { return high().messages.size() == 1; }));
}

}  // namespace
