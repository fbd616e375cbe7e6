// Each daemon of a zone needs every change of the configuration. A few daemons read it from the
// store, and the others from these readers. Readers that become unresponsive, refuse or lag delay a
// change briefly, but no change is lost and the other daemons don't all turn to the store.
#include "standins/following_daemons.hpp"

#include <gtest/gtest.h>

#include <list>
#include <utility>

namespace {

using namespace cranberrydock;
using standins::following_daemon;
using standins::following_daemons;

constexpr std::size_t daemon_count = 24;
const fleet::table_name table("configuration");
const fleet::row_name row("newest");

// Sends each change once to each follower.
class counting_store final : public standins::unresponsive_peer {
public:
    explicit counting_store(net::event_loop& loop) : loop_(loop) {}

    void read(const fleet::table_name& /*table*/, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback done) override {
        run_later(base::milliseconds{1}, [this, done] { done(current_rows()); });
    }
    void follow(const fleet::table_name& /*table*/, fleet::store_version after,
                base::milliseconds wait, fleet::read_callback done) override {
        if (after < version) {
            ++rows_sent;
            run_later(base::milliseconds{1}, [this, done] { done(current_rows()); });
            return;
        }
        open_.push_back({after, done});
        const auto entry = std::prev(open_.end());
        run_later(wait, [this, entry] {
            const auto done_now = entry->done;
            open_.erase(entry);
            if (done_now) {
                fleet::rows_read unchanged;
                unchanged.version = version;
                done_now(unchanged);
            }
        });
    }
    void change() {
        version = version.next();
        for (auto& it : open_) {
            if (const auto done = std::exchange(it.done, nullptr)) {
                ++rows_sent;
                run_later(base::milliseconds{1}, [this, done] { done(current_rows()); });
            }
        }
    }

    fleet::store_version version{1};
    int rows_sent = 0;

private:
    struct open_follow {
        fleet::store_version after;
        fleet::read_callback done;
    };
    fleet::rows_read current_rows() const {
        fleet::rows_read out;
        out.rows.push_back({{table, {}, row}, "value", version, false});
        out.version = version;
        return out;
    }
    void run_later(base::milliseconds delay, std::function<void()> action) {
        timers_.push_back(loop_.after(delay, std::move(action)));
    }

    net::event_loop& loop_;
    std::list<open_follow> open_;
    std::vector<std::unique_ptr<net::timer>> timers_;
};

class followed_changes : public testing::Test {
public:
    void run_for(base::duration time) {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    void start() {
        daemons.start();
        run_for(base::milliseconds{200});
    }

    std::size_t informed_count() const { return daemons.count_at_version(store.version); }

    net::event_loop loop;
    counting_store store{loop};
    following_daemons daemons{loop, store, {fleet::zone_name("y"), fleet::zone_name("z")}};
};

class zone_of_daemons : public followed_changes {
public:
    zone_of_daemons() {
        daemons.add_zone(fleet::zone_name("z"), daemon_count, readers);
        start();
    }

    static constexpr std::size_t readers = 3;
};

// Two zones of eight, with one reader each.
class region_of_daemons : public followed_changes {
public:
    region_of_daemons() {
        daemons.add_zone(fleet::zone_name("y"), zone_size, 1);
        daemons.add_zone(fleet::zone_name("z"), zone_size, 1);
        start();
    }

    following_daemon& reader_of_y() { return *daemons.daemons.front(); }
    following_daemon& reader_of_z() { return *daemons.daemons[zone_size]; }

    static constexpr std::size_t zone_size = 8;
    static constexpr int reader_count = 2;
};

TEST_F(zone_of_daemons, learns_of_change_from_three_reads) {
    store.change();
    run_for(base::milliseconds{200});
    EXPECT_EQ(informed_count(), daemon_count);
    EXPECT_EQ(store.rows_sent, static_cast<int>(readers));
}

TEST_F(zone_of_daemons, learns_of_change_while_readers_are_unresponsive) {
    for (std::size_t i = 0; i < readers; ++i) {
        daemons.daemons[i]->unresponsive = true;
    }
    store.change();
    // Well within the 3 s in which a configuration has to be in force.
    run_for(base::milliseconds{1'500});
    EXPECT_EQ(informed_count(), daemon_count);
}

TEST_F(zone_of_daemons, learns_of_rapid_changes) {
    for (int i = 0; i < 20; ++i) {
        store.change();
        run_for(base::milliseconds{30});
    }
    run_for(base::milliseconds{200});
    EXPECT_EQ(informed_count(), daemon_count);
}

TEST_F(zone_of_daemons, daemon_without_peers_does_not_read_for_others) {
    daemons.daemons.front()->zone.set_daemons({});
    EXPECT_FALSE(daemons.daemons.front()->zone.serves_other_daemons());
}

TEST_F(region_of_daemons, reads_change_once_per_zone_with_unresponsive_reader) {
    reader_of_z().unresponsive = true;
    run_for(base::milliseconds{600});  // follow calls that it would still answer have ended
    store.change();
    run_for(base::milliseconds{1'500});
    EXPECT_EQ(informed_count(), daemons.daemons.size());
    EXPECT_EQ(store.rows_sent, reader_count);
}

TEST_F(region_of_daemons, reads_changes_once_per_zone_with_lagging_reader) {
    reader_of_z().lagging = true;
    constexpr int changes = 4;
    for (int i = 0; i < changes; ++i) {
        store.change();
        run_for(base::milliseconds{700});
    }
    EXPECT_EQ(informed_count(), daemons.daemons.size());
    EXPECT_EQ(store.rows_sent, changes * reader_count);
}

// While the link to the store is saturated, no reader has a recent update. More readers would keep
// it saturated for longer.
TEST_F(region_of_daemons, adds_no_readers_while_all_readers_lag) {
    reader_of_y().lagging = true;
    reader_of_z().lagging = true;
    run_for(base::milliseconds{2'500});
    store.change();
    run_for(base::milliseconds{500});
    EXPECT_EQ(store.rows_sent, reader_count);
}

// An older version may contain a key that has been withdrawn since.
TEST_F(region_of_daemons, gives_starting_daemon_no_stale_version) {
    reader_of_y().lagging = true;
    reader_of_z().lagging = true;
    store.change();
    const auto& new_daemon = daemons.start_late_daemon(fleet::zone_name("z"));
    run_for(base::milliseconds{8'000});
    EXPECT_EQ(new_daemon.first_version, store.version);
}

TEST_F(region_of_daemons, reads_directly_when_readers_keep_lagging) {
    reader_of_y().lagging = true;
    reader_of_z().lagging = true;
    store.change();
    run_for(base::milliseconds{7'000});
    EXPECT_EQ(informed_count(), daemons.daemons.size());
}

}  // namespace
