// Reads a table whose changes every daemon needs soon. A few daemons of each availability zone, the
// readers, read the table from the store, and the other daemons read it from them. If each of 147
// daemons read a configuration of some hundred kilobytes at once, the link between regions would be
// saturated for seconds and block all other traffic.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/log_rate_limiter.hpp>
#include <cranberrydock/base/metrics.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet_daemon/lifetime.hpp>
#include <cranberrydock/fleet_daemon/relayed_vm_control.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::fleet_daemon {

// A row_store that sends reads of the table and its changes to readers. A read is sent to a reader
// of this daemon's zone, then to the readers of the region's other zones, then to the fallback
// readers of all these zones, and to the store if none of them answers. If some readers answer that
// they are behind, the read fails with `stale_peer` and is repeated later instead: the connection
// to the store is slow then, and each daemon that reads from the store itself slows it down
// further. Only fallback readers read from the store in that case, after a while.
class zone_reader final : public fleet::row_store {
public:
    // `name`, `zone` and `cores` (number of cores) are those of this daemon. `region` lists the
    // zones of its region.
    zone_reader(fleet::row_store& store, std::string name, fleet::zone_name zone,
                std::set<fleet::zone_name> region, double cores, base::metrics& metrics);

    // The other daemons, by VM name.
    void set_daemons(const std::map<std::string, relay_candidate>& others);

    // Whether this daemon is a reader or fallback reader, to which other daemons send reads.
    bool serves_other_daemons() const { return reads_for_others_; }

    // When the last read that the store itself answered was sent.
    base::time_point store_read_as_of() const { return store_read_as_of_; }

    void commit(const fleet::row_transaction& transaction, base::milliseconds timeout,
                fleet::commit_callback done) override;
    // Readers answer with the complete table, regardless of `from` and `limit`.
    void read(const fleet::table_name& table, const fleet::partition_name& partition,
              const fleet::row_name& from, std::size_t limit, base::milliseconds timeout,
              fleet::read_callback done) override;
    void follow(const fleet::table_name& table, fleet::store_version after, base::milliseconds wait,
                fleet::read_callback done) override;

private:
    struct reader {
        std::shared_ptr<peer> connection;
        int rank = 0;  // lower ranks are tried first
        base::time_point avoid_until{};
    };
    using readers = std::map<std::string, reader>;
    struct read_request {
        fleet::store_version after;
        base::milliseconds wait;
        std::function<void(fleet::read_callback)> query_store;
        fleet::read_callback done;
        std::set<std::string> tried;  // names of the readers
        bool any_reader_behind = false;
    };

    // The best usable reader that has not been tried; end if there is none.
    readers::const_iterator choose(const std::set<std::string>& tried) const;
    void query_next(const std::shared_ptr<read_request>& request);
    void query_store(const read_request& request);
    void on_reader_failed(const std::string& name, read_request& request,
                          fleet::store_failure failure);

    fleet::row_store& store_;
    std::string name_;
    fleet::zone_name zone_;
    std::set<fleet::zone_name> region_;
    double cores_;
    base::metrics& metrics_;
    base::suspend_aware_clock clock_;
    static constexpr std::int64_t failure_lines_per_second = 5;
    base::log_rate_limiter failure_log_limiter_{"zone_reader_failed", failure_lines_per_second};
    // The readers and fallback readers of the region; empty while this daemon is a reader or its
    // zone has none.
    readers readers_;
    bool reads_for_others_ = false;
    bool is_fallback_reader_ = false;
    base::time_point store_read_as_of_{};
    // When any read was last answered; initially the time of construction.
    base::time_point last_answer_ = clock_.now();
    lifetime lifetime_;
};

// Serves a reader's copy of the table to other daemons.
class shared_feed {
public:
    // `is_recent` returns whether this daemon's copy is recent enough to be served.
    shared_feed(net::event_loop& loop, std::function<bool()> is_recent)
        : loop_(loop), is_recent_(std::move(is_recent)) {}

    // Adds rows that this daemon has read. `version` is the version up to which it has read
    // changes.
    void update(const std::vector<fleet::stored_row>& rows, fleet::store_version version);
    // Answers with the rows that have changed after `after`, or with no rows after `wait`, or fails
    // with `stale_peer` if this daemon's copy is too old. A query with `after` 0, from a daemon
    // without any rows, is answered only while the copy is recent.
    void follow(fleet::store_version after, base::milliseconds wait,
                const fleet::read_callback& done);

private:
    struct query {
        fleet::store_version after;
        fleet::read_callback done;
        std::unique_ptr<net::timer> timeout;
    };
    bool has_changes_after(fleet::store_version after) const;
    fleet::rows_read changes_after(fleet::store_version after) const;

    net::event_loop& loop_;
    std::function<bool()> is_recent_;
    std::map<std::string, fleet::stored_row> rows_;  // by row name
    fleet::store_version version_;
    std::list<query> open_;
};

}  // namespace cranberrydock::fleet_daemon
