// The store refuses writes to a part that has too many of them, and answers all other calls. The
// direct path works, and calls through a peer would only load the peer as well. A peer is used when
// no call has succeeded for a while.
#include <cranberrydock/fleet_daemon/relayed_store.hpp>

#include "standins/unresponsive_peer.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace {

using namespace cranberrydock;

// Answers within the call. The store of a daemon never does so, but relayed_store permits it.
class scripted_peer final : public standins::unresponsive_peer {
public:
    void commit(const fleet::row_transaction& /*what*/, base::milliseconds /*timeout*/,
                fleet::commit_callback done) override {
        ++calls;
        if (refuses_writes) {
            done(tl::make_unexpected(fleet::store_error{fleet::store_failure::refused, {}}));
        } else {
            done(fleet::store_version(1));
        }
    }
    void read(const fleet::table_name& /*table*/, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback done) override {
        ++calls;
        done(fleet::rows_read{});
    }
    bool refuses_writes = false;
    int calls = 0;
};

class store_path : public testing::Test {
public:
    store_path() {
        direct.refuses_writes = true;
        store.set_peers({{"peer", peer}});
        read();  // a daemon reads the configuration before it writes anything
    }

    void write() {
        store.commit({}, base::milliseconds(100), [](const auto& /*answer*/) {});
    }
    void read() {
        store.read({}, {}, {}, 1, base::milliseconds(100), [](const auto& /*answer*/) {});
    }
    // Repeats the action for longer than a path may go without a success.
    template <typename Action>
    void repeat(Action action) {
        const base::suspend_aware_clock clock;
        const auto deadline = clock.now() + base::milliseconds(1'200);
        while (clock.now() < deadline) {
            action();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    base::metrics metrics;
    scripted_peer direct;
    std::shared_ptr<scripted_peer> peer = std::make_shared<scripted_peer>();
    fleet_daemon::relayed_store store{direct, "daemon", metrics};
};

TEST_F(store_path, refused_writes_do_not_switch_path) {
    repeat([this] {
        write();
        write();
        read();
    });
    EXPECT_EQ(peer->calls, 0);
    EXPECT_TRUE(store.direct_path_works());
}

TEST_F(store_path, peer_is_used_when_all_calls_fail) {
    repeat([this] { write(); });
    EXPECT_GT(peer->calls, 0);
    EXPECT_FALSE(store.direct_path_works());
}

}  // namespace
