// Changes of a table that every daemon has to hear of soon, read from the store by a few daemons of
// each availability zone and by the others from these. A configuration of some hundred kilobytes
// that each of 147 daemons reads at once fills the link between regions for seconds, in which
// nothing else gets through either.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/lifetime.hpp>
#include <cranberrydock/steward/relayed_vms.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::steward {

// The store, but for what it is asked of changes: that goes to a reader of this daemon's zone if
// there is one, and to the store when the reader does not answer or does not know.
class zone_reader final : public fleet::row_store {
public:
    // `name` and `strength`: this daemon's.
    zone_reader(fleet::row_store& store, std::string name, fleet::zone_name zone, double strength,
                base::metrics& metrics);

    // The other daemons, by the names of their VMs.
    void set_daemons(const std::map<std::string, relay_candidate>& others);

    // Whether others of the zone ask this daemon.
    bool reads_for_others() const { return reads_for_others_; }

    void commit(const fleet::row_transaction& what, base::milliseconds timeout,
                fleet::commit_done done) override;
    void read(const fleet::table_name& table, const fleet::part_name& part,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_done done) override;
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_done done) override;

private:
    struct reader {
        std::shared_ptr<peer> way;
        base::time_point avoid_until{};
    };

    fleet::row_store& store_;
    std::string name_;
    fleet::zone_name zone_;
    double strength_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    std::map<std::string, reader> readers_;  // of the zone; empty while this daemon is one
    bool reads_for_others_ = false;
    lifetime lifetime_;
};

// What a reader has heard of the table, for the others of its zone.
class shared_feed {
public:
    explicit shared_feed(net::event_loop& loop) : loop_(loop) {}

    // `version`: up to which the table's changes have been heard.
    void heard(const std::vector<fleet::stored_row>& rows, fleet::store_version version);
    // Answers with the rows that have changed after `after`, or with none after `wait`.
    void follow(fleet::store_version after, base::milliseconds wait, const fleet::read_done& done);

private:
    struct question {
        fleet::store_version after;
        fleet::read_done done;
        std::unique_ptr<net::timer> timeout;
    };
    fleet::rows_read changes_after(fleet::store_version after) const;

    net::event_loop& loop_;
    std::map<std::string, fleet::stored_row> rows_;  // by their names
    fleet::store_version version_;
    std::list<question> open_;
};

}  // namespace cranberrydock::steward
