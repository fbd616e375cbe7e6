// The daemons of a far region share a link to the store that carries a large configuration to a few
// of them in time, but not to all of them.
#include "standins/following_daemons.hpp"
#include "standins/store_behind_a_link.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using fleet::zone_name;

// Of the larger of the users' sites.
constexpr base::milliseconds in_force_within{4'000};
// Fifteen at once take 3.4 s, three 0.7 s.
constexpr base::milliseconds large{225};

class narrow_link : public testing::Test {
public:
    narrow_link() {
        for (const char* it : {"a", "b", "c"}) {
            daemons.add_zone(zone_name(it), zone_size, 1);
        }
    }

    // With a small configuration, which grows then.
    void start_and_grow() {
        daemons.start();
        run_for(base::milliseconds{500});
        store.set_transfer_time(large);
        store.change();
        ASSERT_EQ(informed_in_time(), daemons.all.size());
    }

    void run_for(base::duration time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    void change(int times, base::milliseconds pause) {
        for (int i = 0; i < times; ++i) {
            store.change();
            run_for(pause);
        }
    }

    std::size_t informed_in_time() {
        run_for(in_force_within);
        return daemons.that_know(store.version);
    }

    static constexpr std::size_t zone_size = 5;
    net::event_loop loop;
    standins::store_behind_a_link store{loop};
    standins::following_daemons daemons{
        loop, store, {zone_name("a"), zone_name("b"), zone_name("c")}};
};

TEST_F(narrow_link, is_not_filled_by_daemons_that_start_at_once) {
    store.set_transfer_time(large);
    daemons.start();
    EXPECT_EQ(informed_in_time(), daemons.all.size());
}

TEST_F(narrow_link, is_not_filled_when_all_readers_fall_silent) {
    start_and_grow();
    for (std::size_t reader = 0; reader < daemons.all.size(); reader += zone_size) {
        daemons.all[reader]->silent = true;
    }
    run_for(base::milliseconds{1'000});
    change(6, base::milliseconds{1'000});
    EXPECT_EQ(informed_in_time(), daemons.all.size());
}

TEST_F(narrow_link, that_was_cut_is_not_filled_by_all_daemons_reading_at_once) {
    start_and_grow();
    store.cut();
    // Longer than news of the configuration is handed on.
    run_for(base::milliseconds{8'000});
    store.restore();
    change(3, base::milliseconds{1'000});
    EXPECT_EQ(informed_in_time(), daemons.all.size());
}

TEST_F(narrow_link, carries_the_last_of_changes_in_quick_succession_in_time) {
    start_and_grow();
    change(16, base::milliseconds{250});
    EXPECT_EQ(informed_in_time(), daemons.all.size());
}

}  // namespace
