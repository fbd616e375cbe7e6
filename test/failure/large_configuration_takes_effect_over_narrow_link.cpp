// The daemons of a remote region share a link to the store. The link can deliver a large
// configuration to a few of them in time, but not to all of them.
#include "standins/bandwidth_limited_store.hpp"
#include "standins/following_daemons.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using fleet::zone_name;

// The limit of the larger of the users' sites.
constexpr base::milliseconds propagation_limit{4'000};
// Time of one transfer. Fifteen simultaneous transfers take 3.4 s, three take 0.7 s.
constexpr base::milliseconds large_transfer_time{225};

class narrow_link : public testing::Test {
public:
    narrow_link() {
        for (const char* it : {"a", "b", "c"}) {
            daemons.add_zone(zone_name(it), zone_size, 1);
        }
    }

    // Starts the daemons with a small configuration, which then becomes large.
    void start_and_grow() {
        daemons.start();
        run_for(base::milliseconds{500});
        store.set_transfer_time(large_transfer_time);
        store.add_version();
        ASSERT_EQ(count_informed_in_time(), daemons.daemons.size());
    }

    void run_for(base::duration time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    void change_repeatedly(int times, base::milliseconds pause) {
        for (int i = 0; i < times; ++i) {
            store.add_version();
            run_for(pause);
        }
    }

    std::size_t count_informed_in_time() {
        run_for(propagation_limit);
        return daemons.count_at_version(store.version);
    }

    static constexpr std::size_t zone_size = 5;
    net::event_loop loop;
    standins::bandwidth_limited_store store{loop};
    standins::following_daemons daemons{
        loop, store, {zone_name("a"), zone_name("b"), zone_name("c")}};
};

TEST_F(narrow_link, is_not_saturated_by_simultaneous_starts) {
    store.set_transfer_time(large_transfer_time);
    daemons.start();
    EXPECT_EQ(count_informed_in_time(), daemons.daemons.size());
}

TEST_F(narrow_link, is_not_saturated_when_all_readers_are_unresponsive) {
    start_and_grow();
    for (std::size_t reader = 0; reader < daemons.daemons.size(); reader += zone_size) {
        daemons.daemons[reader]->unresponsive = true;
    }
    run_for(base::milliseconds{1'000});
    change_repeatedly(6, base::milliseconds{1'000});
    EXPECT_EQ(count_informed_in_time(), daemons.daemons.size());
}

TEST_F(narrow_link, is_not_saturated_when_restored) {
    start_and_grow();
    store.cut();
    // Longer than a daemon passes on a configuration without an update from the store.
    run_for(base::milliseconds{8'000});
    store.restore();
    change_repeatedly(3, base::milliseconds{1'000});
    EXPECT_EQ(count_informed_in_time(), daemons.daemons.size());
}

TEST_F(narrow_link, delivers_last_of_rapid_changes_in_time) {
    start_and_grow();
    change_repeatedly(16, base::milliseconds{250});
    EXPECT_EQ(count_informed_in_time(), daemons.daemons.size());
}

}  // namespace
