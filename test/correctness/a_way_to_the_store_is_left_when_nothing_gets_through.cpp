// The store refuses writes to a part that has too many while it answers everything else: the way to
// it works, and going through a peer would only load that as well. When nothing gets through for a
// while, a peer is asked.
#include <cranberrydock/steward/relayed_store.hpp>

#include "standins/silent_peer.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace {

using namespace cranberrydock;

// Answers inside the call, which the store of a daemon never does; relayed_store doesn't mind.
class scripted_peer final : public standins::silent_peer {
public:
    void commit(const fleet::row_transaction& /*what*/, base::milliseconds /*timeout*/,
                fleet::commit_done done) override {
        ++calls;
        if (refuses_writes) {
            done(tl::make_unexpected(fleet::store_error{fleet::store_failure::refused, {}}));
        } else {
            done(fleet::store_version(1));
        }
    }
    void read(const fleet::table_name& /*table*/, const fleet::part_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_done done) override {
        ++calls;
        done(fleet::rows_read{});
    }
    bool refuses_writes = false;
    int calls = 0;
};

class two_ways : public testing::Test {
public:
    two_ways() {
        direct.refuses_writes = true;
        store.set_peers({{"peer", other}});
        read();  // a daemon reads the configuration before it writes anything
    }

    void write() {
        store.commit({}, base::milliseconds(100), [](const auto& /*answer*/) {});
    }
    void read() {
        store.read({}, {}, {}, 1, base::milliseconds(100), [](const auto& /*answer*/) {});
    }
    // For longer than a way may be without a success.
    template <typename Action>
    void keep_on(Action action) {
        const base::suspend_aware_clock clock;
        const auto end = clock.now() + base::milliseconds(1'200);
        while (clock.now() < end) {
            action();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    base::metrics metrics;
    scripted_peer direct;
    std::shared_ptr<scripted_peer> other = std::make_shared<scripted_peer>();
    steward::relayed_store store{direct, "daemon", metrics};
};

TEST_F(two_ways, a_crowded_part_is_no_reason) {
    keep_on([this] {
        write();
        write();
        read();
    });
    EXPECT_EQ(other->calls, 0);
    EXPECT_TRUE(store.direct_works());
}

TEST_F(two_ways, a_peer_is_asked_when_nothing_gets_through) {
    keep_on([this] { write(); });
    EXPECT_GT(other->calls, 0);
    EXPECT_FALSE(store.direct_works());
}

}  // namespace
