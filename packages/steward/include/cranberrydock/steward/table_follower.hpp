// Keeps up with a table of the store: reads it whole, then follows its changes, and reads it anew
// when the store has dropped the history in between.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/lifetime.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace cranberrydock::steward {

class table_listener {
public:
    virtual ~table_listener() = default;
    // The whole table: rows that are not among these do not exist.
    virtual void on_table(const std::vector<fleet::stored_row>& rows) = 0;
    // Changes since, in order.
    virtual void on_changes(const std::vector<fleet::stored_row>& rows) = 0;
    // The store has answered: what is known is current.
    virtual void on_current() = 0;
    virtual void on_unreadable() = 0;
};

// How a follower that has fallen behind catches up: its answer was lost, or listed a row twice.
enum class catch_up {
    by_changes,  // for tables of many rows
    by_reading,  // for few large rows: the store lists each of a row's versions as a change
};

class table_follower {
public:
    // `wait`: how long the store may keep a question about changes open. `pause`: after changes
    // nothing is asked for so long, so that changes that come singly are read together.
    table_follower(net::event_loop& loop, fleet::row_store& store, fleet::table_name table,
                   std::vector<fleet::part_name> parts, base::milliseconds wait,
                   base::milliseconds pause, table_listener& listener,
                   catch_up manner = catch_up::by_changes);

    void start();

    // Whatever the table held up to this version has been handed to the listener, or was gone when
    // it was read.
    fleet::store_version handed_on() const { return handed_on_; }

    // Whatever was in the table at this moment has been told: when the store was asked what it
    // answered last.
    base::time_point as_of() const { return as_of_; }

private:
    void read_part();
    void part_read(const fleet::rows_read& read);
    void follow();
    void lost(const fleet::store_error& error);
    void heard();
    void later(base::milliseconds pause, void (table_follower::*step)());

    net::event_loop& loop_;
    fleet::row_store& store_;
    fleet::table_name table_;
    std::vector<fleet::part_name> parts_;
    base::milliseconds wait_;
    base::milliseconds pause_;
    table_listener& listener_;
    catch_up catch_up_;
    std::size_t part_ = 0;  // being read
    fleet::row_name from_;
    fleet::store_version version_;  // changes up to here are known
    fleet::store_version handed_on_;
    base::time_point asked_{};
    base::time_point as_of_{};
    std::vector<fleet::stored_row> rows_;
    base::suspend_aware_clock clock_;
    std::optional<base::time_point> lost_since_;  // while the store does not answer
    std::unique_ptr<net::timer> next_;
    lifetime lifetime_;
};

}  // namespace cranberrydock::steward
