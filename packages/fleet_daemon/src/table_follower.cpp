// Follows a table of the store.
#include <cranberrydock/fleet_daemon/table_follower.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

constexpr std::size_t rows_per_read = 500;  // the store's limit
// Time without any received byte after which the connection counts as dead. An answer that is still
// being received is waited for.
constexpr base::milliseconds read_timeout{1'000};
constexpr base::milliseconds retry_pause{200};

// A name that sorts after `name` and before all longer names that start with it: '!' sorts before
// every character of the row names in use.
fleet::row_name successor_of(const fleet::row_name& name) {
    return fleet::row_name(name.str() + "!");
}

bool has_duplicate_rows(const std::vector<fleet::stored_row>& rows) {
    std::set<std::pair<fleet::partition_name, fleet::row_name>> seen;
    return !std::all_of(rows.begin(), rows.end(), [&](const auto& it) {
        return seen.insert({it.address.partition, it.address.name}).second;
    });
}

}  // namespace

table_follower::table_follower(net::event_loop& loop, fleet::row_store& store,
                               fleet::table_name table,
                               std::vector<fleet::partition_name> partitions,
                               base::milliseconds wait, base::milliseconds pause,
                               table_listener& listener, catch_up method)
    : loop_(loop),
      store_(store),
      table_(std::move(table)),
      partitions_(std::move(partitions)),
      wait_(wait),
      pause_(pause),
      listener_(listener),
      catch_up_(method) {}

void table_follower::start() {
    partition_index_ = 0;
    from_ = {};
    version_ = {};
    rows_.clear();
    request_sent_ = clock_.now();
    read_partition();
}

void table_follower::read_partition() {
    store_.read(table_, partitions_[partition_index_], from_, rows_per_read, read_timeout,
                lifetime_.guard([this](const auto& read) {
                    if (read) {
                        on_partition_read(*read);
                    } else {
                        on_read_failed(read.error());
                        schedule(retry_pause, &table_follower::read_partition);
                    }
                }));
}

void table_follower::on_partition_read(const fleet::rows_read& read) {
    // Changes are followed from the version of the first read, so that none between two reads is
    // missed.
    if (version_.value() == 0) {
        version_ = read.version;
    }
    rows_.insert(rows_.end(), read.rows.begin(), read.rows.end());
    if (read.more && !read.rows.empty()) {
        from_ = successor_of(read.rows.back().address.name);
        read_partition();
        return;
    }
    from_ = {};
    if (++partition_index_ < partitions_.size()) {
        read_partition();
        return;
    }
    on_read_succeeded();
    delivered_version_ = std::max(delivered_version_, version_);
    listener_.on_table(rows_);
    rows_.clear();
    rows_.shrink_to_fit();
    follow();
}

void table_follower::follow() {
    request_sent_ = clock_.now();
    store_.follow(table_, version_, wait_, lifetime_.guard([this](const auto& read) {
        if (read) {
            version_ = std::max(version_, read->version);
            delivered_version_ = std::max(delivered_version_, version_);
            on_read_succeeded();
            if (read->rows.empty()) {
                follow();
                return;
            }
            listener_.on_changes(read->rows);
            const bool is_behind =
                catch_up_ == catch_up::by_full_read && has_duplicate_rows(read->rows);
            schedule(pause_, is_behind ? &table_follower::start : &table_follower::follow);
            return;
        }
        if (read.error().failure == fleet::store_failure::history_truncated) {
            spdlog::info("event=table_reread table={} version={}", table_.str(), version_.value());
            start();
            return;
        }
        on_read_failed(read.error());
        const bool is_behind = catch_up_ == catch_up::by_full_read &&
                               read.error().failure == fleet::store_failure::answer_lost;
        schedule(retry_pause, is_behind ? &table_follower::start : &table_follower::follow);
    }));
}

void table_follower::on_read_failed(const fleet::store_error& error) {
    if (!lost_since_) {
        lost_since_ = clock_.now();
        spdlog::info("event=feed_lost table={} version={} reason={}", table_.str(),
                     version_.value(), fleet::to_string(error.failure));
    }
    listener_.on_unavailable();
}

void table_follower::on_read_succeeded() {
    if (lost_since_) {
        spdlog::info(
            "event=feed_back table={} version={} after_ms={}", table_.str(), version_.value(),
            std::chrono::duration_cast<base::milliseconds>(clock_.now() - *lost_since_).count());
        lost_since_.reset();
    }
    as_of_ = request_sent_;
    listener_.on_up_to_date();
}

void table_follower::schedule(base::milliseconds pause, void (table_follower::*step)()) {
    next_step_ = loop_.after(pause, [this, step] { (this->*step)(); });
}

}  // namespace cranberrydock::fleet_daemon
