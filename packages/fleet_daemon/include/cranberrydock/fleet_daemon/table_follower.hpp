// Follows a table of the store: reads the complete table, then its changes. If the store has
// dropped the history of the changes in between, the complete table is read again.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace cranberrydock::fleet_daemon {

class table_listener {
public:
    virtual ~table_listener() = default;
    // The complete table: no other rows exist.
    virtual void on_table(const std::vector<fleet::stored_row>& rows) = 0;
    // Changes since the last call of on_table() or on_changes(), in order.
    virtual void on_changes(const std::vector<fleet::stored_row>& rows) = 0;
    // The store has answered a read, so the follower is up to date. Called before the rows of that
    // read are delivered.
    virtual void on_up_to_date() = 0;
    // A read has failed.
    virtual void on_unavailable() = 0;
};

// How a follower catches up after an answer was lost, or listed a row more than once.
enum class catch_up {
    by_changes,    // reads the changes; for tables with many rows
    by_full_read,  // reads the table; for few large rows: a change feed lists every version of a
                   // row
};

class table_follower {
public:
    // `wait` is how long the store may keep a query for changes open. `pause` is the delay before
    // the next query after changes were received, so that single changes are read in one batch.
    table_follower(net::event_loop& loop, fleet::row_store& store, fleet::table_name table,
                   std::vector<fleet::partition_name> partitions, base::milliseconds wait,
                   base::milliseconds pause, table_listener& listener,
                   catch_up method = catch_up::by_changes);

    // Reads the table and follows it from then on.
    void start();

    // All changes up to this version have been delivered to the listener, except rows that had been
    // removed when the table was read.
    fleet::store_version delivered_version() const { return delivered_version_; }

    // The delivered rows reflect the table as of this time: when the last answered query was sent.
    base::time_point as_of() const { return as_of_; }

private:
    void read_partition();
    void on_partition_read(const fleet::rows_read& read);
    void follow();
    void on_read_failed(const fleet::store_error& error);
    void on_read_succeeded();
    void schedule(base::milliseconds pause, void (table_follower::*step)());

    net::event_loop& loop_;
    fleet::row_store& store_;
    fleet::table_name table_;
    std::vector<fleet::partition_name> partitions_;
    base::milliseconds wait_;
    base::milliseconds pause_;
    table_listener& listener_;
    catch_up catch_up_;
    std::size_t partition_index_ = 0;  // index of the partition that is being read
    fleet::row_name from_;
    fleet::store_version version_;  // the next query asks for changes after this version
    fleet::store_version delivered_version_;
    base::time_point request_sent_{};
    base::time_point as_of_{};
    std::vector<fleet::stored_row> rows_;
    base::suspend_aware_clock clock_;
    std::optional<base::time_point> lost_since_;  // set while reads fail
    std::unique_ptr<net::timer> next_step_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::fleet_daemon
