// Two daemons connect and exchange messages in both directions, in the order in which they were
// sent. A large message on a slow link must not delay heartbeats.
#include <gtest/gtest.h>
#include <standins/mesh_node.hpp>
#include <standins/tcp_relay.hpp>

#include <array>
#include <vector>

namespace {

using namespace cranberrydock;
using standins::mesh_node;
using standins::mesh_test_loop;

mesh::submit_work work_of(std::int64_t call, std::size_t payload) {
    mesh::submit_work out;
    out.call = mesh::call_id(call);
    out.work.payload.assign(payload, static_cast<char>('a' + call % 26));
    return out;
}

class two_daemons : public ::testing::Test {
protected:
    mesh_test_loop test_loop_;
    mesh_node a_{test_loop_, {"a"}};
    mesh_node b_{test_loop_, {"b"}};
};

TEST_F(two_daemons, exchange_messages_in_order) {
    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, b_));
    constexpr int message_count = 200;
    for (int i = 0; i < message_count; ++i) {
        EXPECT_TRUE(a_.mesh->send(b_.id, work_of(i, 100)));
        EXPECT_TRUE(b_.mesh->send(a_.id, mesh::job_query{mesh::call_id(i), {}, {}, {}, true}));
    }
    ASSERT_TRUE(test_loop_.run_until([&] {
        return a_.messages.size() >= message_count && b_.messages.size() >= message_count;
    }));
    for (int i = 0; i < message_count; ++i) {
        EXPECT_EQ(std::get<mesh::job_query>(a_.messages[i]).call, mesh::call_id(i));
        EXPECT_EQ(std::get<mesh::submit_work>(b_.messages[i]).call, mesh::call_id(i));
    }
}

TEST_F(two_daemons, send_usage_no_more_often_than_configured) {
    mesh_node::options rare{"c"};
    rare.usage_period = base::seconds{300};  // longer than the test
    mesh_node c(test_loop_, rare);
    const auto usage = [](int running) {
        return std::vector<mesh::team_usage>{
            {base::team_id("survey"), base::slot_count(running), base::slot_count(0)}};
    };
    b_.own_state.usage = usage(1);
    c.own_state.usage = usage(1);
    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, b_));
    EXPECT_EQ(a_.last_heartbeat.usage.at(0).running, base::slot_count(1));
    b_.own_state.usage = usage(2);
    b_.own_state.version = base::config_version(2);
    ASSERT_TRUE(
        test_loop_.run_until([&] { return a_.last_heartbeat.version == base::config_version(2); }));
    EXPECT_EQ(a_.last_heartbeat.usage.at(0).running, base::slot_count(2));

    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, c));
    c.own_state.usage = usage(3);
    c.own_state.version = base::config_version(3);
    ASSERT_TRUE(
        test_loop_.run_until([&] { return a_.last_heartbeat.version == base::config_version(3); }));
    EXPECT_EQ(a_.last_heartbeat.usage.at(0).running, base::slot_count(1));
}

TEST_F(two_daemons, measure_the_round_trip_and_count_bytes) {
    standins::tcp_relay slow(test_loop_.loop, b_.mesh->listen_endpoint(),
                             {base::milliseconds{15}, {}});
    a_.mesh->set_peers({b_.as_peer(slow.listen_endpoint())});
    b_.mesh->set_peers({a_.as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.mesh->links()[0].round_trip.count() > 0; }));
    const mesh::link_status link = a_.mesh->links()[0];
    EXPECT_GE(link.round_trip, base::milliseconds{30});
    EXPECT_GT(link.sent.value(), 0);
    EXPECT_GT(link.received.value(), 0);
}

TEST_F(two_daemons, large_message_does_not_delay_heartbeats) {
    standins::tcp_relay slow(test_loop_.loop, b_.mesh->listen_endpoint(),
                             {base::milliseconds{1}, base::byte_count{5'000'000}});
    a_.mesh->set_peers({b_.as_peer(slow.listen_endpoint())});
    b_.mesh->set_peers({a_.as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_.link_is_up; }));
    const int before = b_.heartbeat_count;
    const mesh::submit_work large = work_of(1, 10'000'000);
    ASSERT_TRUE(a_.mesh->send(b_.id, large));
    ASSERT_TRUE(test_loop_.run_until([&] { return !b_.messages.empty(); }));
    EXPECT_EQ(std::get<mesh::submit_work>(b_.messages[0]).work.payload, large.work.payload);
    EXPECT_GE(b_.heartbeat_count - before, 5);
    EXPECT_EQ(a_.link_down_count + b_.link_down_count, 0);
}

TEST_F(two_daemons, small_messages_overtake_larger_ones) {
    standins::tcp_relay slow(test_loop_.loop, b_.mesh->listen_endpoint(),
                             {base::milliseconds{20}, base::byte_count{5'000'000}});
    a_.mesh->set_peers({b_.as_peer(slow.listen_endpoint())});
    b_.mesh->set_peers({a_.as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_.link_is_up; }));
    const std::vector<mesh::submit_work> sent = {work_of(0, 4'000'000), work_of(1, 3'000'000),
                                                 work_of(2, 200'000), work_of(3, 100'000)};
    for (const auto& it : sent) {
        ASSERT_TRUE(a_.mesh->send(b_.id, it));
    }
    ASSERT_TRUE(test_loop_.run_until([&] { return b_.messages.size() == sent.size(); }));
    // Smaller messages do not wait for larger ones that were sent before them.
    constexpr std::array<std::size_t, 4> order = {3, 2, 1, 0};
    for (std::size_t i = 0; i < order.size(); ++i) {
        const auto& got = std::get<mesh::submit_work>(b_.messages[i]);
        EXPECT_EQ(got.call, sent[order[i]].call);
        EXPECT_EQ(got.work.payload, sent[order[i]].work.payload);
    }
}

TEST_F(two_daemons, refuse_to_send_without_link_or_over_queue_limit) {
    EXPECT_FALSE(a_.mesh->send(b_.id, work_of(1, 10)));
    ASSERT_TRUE(standins::connect_nodes(test_loop_, a_, b_));
    EXPECT_FALSE(a_.mesh->send(base::daemon_id("c"), work_of(1, 10)));
    // Nothing is sent while the event loop does not run, so the queue fills.
    int accepted = 0;
    while (accepted < 100 && a_.mesh->send(b_.id, work_of(accepted, 8'000'000))) {
        ++accepted;
    }
    EXPECT_LT(accepted, 100);
    EXPECT_EQ(a_.counter("mesh_sends_refused_total", "reason=\"queue_full\""), 1U);
    ASSERT_TRUE(test_loop_.run_until(
        [&] { return b_.messages.size() == static_cast<std::size_t>(accepted); }));
    EXPECT_TRUE(a_.mesh->send(b_.id, work_of(1, 8'000'000)));
}

TEST_F(two_daemons, hold_connection_of_unlisted_daemon) {
    a_.mesh->set_peers({b_.as_peer()});
    ASSERT_TRUE(test_loop_.run_until([&] {
        return b_.counter("mesh_connections_opened_total", "channel=\"control\"") > 0 &&
               b_.counter("mesh_connections_opened_total", "channel=\"bulk\"") > 0;
    }));
    EXPECT_FALSE(a_.link_is_up);
    EXPECT_EQ(b_.heartbeat_count, 0);
    b_.mesh->set_peers({a_.as_peer()});
    EXPECT_TRUE(test_loop_.run_until([&] { return a_.link_is_up && b_.link_is_up; }));
    // The connection was held; the daemon did not have to dial again.
    EXPECT_EQ(b_.counter("mesh_connections_opened_total", "channel=\"control\""), 1U);
}

}  // namespace
