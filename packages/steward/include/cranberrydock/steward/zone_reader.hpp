// Changes of a table that every daemon has to hear of soon, read from the store by a few daemons of
// each availability zone and by the others from these. A configuration of some hundred kilobytes
// that each of 147 daemons reads at once fills the link between regions for seconds, in which
// nothing else gets through either.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/log_budget.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/steward/lifetime.hpp>
#include <cranberrydock/steward/relayed_vms.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::steward {

// The store, but for reads of the table and its changes. These go to a reader of this daemon's
// zone, then to the readers of the region's other zones, then to the substitutes of all these, and
// to the store when none of them answers. Readers that answer but are behind themselves are asked
// again instead: the way to the store is slow then, and every daemon that reads for itself makes
// it slower. Only substitutes read past them, after a while.
class zone_reader final : public fleet::row_store {
public:
    // `name`, `zone` and `strength`: this daemon's. `region`: the zones of its region.
    zone_reader(fleet::row_store& store, std::string name, fleet::zone_name zone,
                std::set<fleet::zone_name> region, double strength, base::metrics& metrics);

    // The other daemons, by the names of their VMs.
    void set_daemons(const std::map<std::string, relay_candidate>& others);

    // Whether others ask this daemon.
    bool reads_for_others() const { return reads_for_others_; }

    // When the store, not a reader, was asked what it answered last.
    base::time_point store_news_as_of() const { return store_news_as_of_; }

    void commit(const fleet::row_transaction& what, base::milliseconds timeout,
                fleet::commit_done done) override;
    // Readers answer with the whole table, whatever `from` and `limit` are.
    void read(const fleet::table_name& table, const fleet::part_name& part,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_done done) override;
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_done done) override;

private:
    struct reader {
        std::shared_ptr<peer> way;
        int turn = 0;
        base::time_point avoid_until{};
    };
    using readers = std::map<std::string, reader>;
    struct question {
        fleet::store_version after;
        base::milliseconds wait;
        std::function<void(fleet::read_done)> ask_store;
        fleet::read_done done;
        std::set<std::string> asked;
        bool some_are_behind = false;
    };

    readers::const_iterator choose(const std::set<std::string>& asked) const;
    void ask_next(const std::shared_ptr<question>& one);
    void ask_store(const question& one);
    void reader_failed(const std::string& name, question& one, fleet::store_failure failure);

    fleet::row_store& store_;
    std::string name_;
    fleet::zone_name zone_;
    std::set<fleet::zone_name> region_;
    double strength_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    static constexpr std::int64_t failure_lines_per_second = 5;
    base::log_budget failure_lines_{"zone_reader_failed", failure_lines_per_second};
    readers readers_;  // of the region, and their substitutes; empty while this daemon reads
    bool reads_for_others_ = false;
    bool is_substitute_ = false;
    base::time_point store_news_as_of_{};
    // Of the table, of changes, or that there are none; at first the start.
    base::time_point heard_ = clock_.now();
    lifetime lifetime_;
};

// What a reader has heard of the table, for the others of its zone.
class shared_feed {
public:
    // `is_current`: whether this daemon's own news is recent enough for others.
    shared_feed(net::event_loop& loop, std::function<bool()> is_current)
        : loop_(loop), is_current_(std::move(is_current)) {}

    // `version`: up to which the table's changes have been heard.
    void heard(const std::vector<fleet::stored_row>& rows, fleet::store_version version);
    // Answers with the rows that have changed after `after`, or with none after `wait`; or that
    // this daemon is behind. Who knows nothing yet (version 0) is told recent news only.
    void follow(fleet::store_version after, base::milliseconds wait, const fleet::read_done& done);

private:
    struct question {
        fleet::store_version after;
        fleet::read_done done;
        std::unique_ptr<net::timer> timeout;
    };
    bool has_news_for(fleet::store_version after) const;
    fleet::rows_read changes_after(fleet::store_version after) const;

    net::event_loop& loop_;
    std::function<bool()> is_current_;
    std::map<std::string, fleet::stored_row> rows_;  // by their names
    fleet::store_version version_;
    std::list<question> open_;
};

}  // namespace cranberrydock::steward
