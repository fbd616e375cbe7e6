// Keeps up with a table of the store.
#include <cranberrydock/steward/table_follower.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cranberrydock::steward {
namespace {

constexpr std::size_t rows_per_read = 500;  // the store returns no more
// A large answer that is coming in is waited for; without a byte by now the connection is silent.
constexpr base::milliseconds read_timeout{1'000};
constexpr base::milliseconds retry_pause{200};

// The next name in byte order that a row of ours can have: '!' is below all their characters.
fleet::row_name beyond(const fleet::row_name& name) {
    return fleet::row_name(name.str() + "!");
}

bool lists_a_row_twice(const std::vector<fleet::stored_row>& rows) {
    std::set<std::pair<fleet::part_name, fleet::row_name>> seen;
    return !std::all_of(rows.begin(), rows.end(), [&](const auto& it) {
        return seen.insert({it.address.part, it.address.name}).second;
    });
}

}  // namespace

table_follower::table_follower(net::event_loop& loop, fleet::row_store& store,
                               fleet::table_name table, std::vector<fleet::part_name> parts,
                               base::milliseconds wait, base::milliseconds pause,
                               table_listener& listener, catch_up manner)
    : loop_(loop),
      store_(store),
      table_(std::move(table)),
      parts_(std::move(parts)),
      wait_(wait),
      pause_(pause),
      listener_(listener),
      catch_up_(manner) {}

void table_follower::start() {
    part_ = 0;
    from_ = {};
    version_ = {};
    rows_.clear();
    asked_ = clock_.now();
    read_part();
}

void table_follower::read_part() {
    store_.read(table_, parts_[part_], from_, rows_per_read, read_timeout,
                lifetime_.guard([this](const auto& read) {
                    if (read) {
                        part_read(*read);
                    } else {
                        lost(read.error());
                        later(retry_pause, &table_follower::read_part);
                    }
                }));
}

void table_follower::part_read(const fleet::rows_read& read) {
    // Changes after the first read are followed, so that none between two reads is missed.
    if (version_.value() == 0) {
        version_ = read.version;
    }
    rows_.insert(rows_.end(), read.rows.begin(), read.rows.end());
    if (read.more && !read.rows.empty()) {
        from_ = beyond(read.rows.back().address.name);
        read_part();
        return;
    }
    from_ = {};
    if (++part_ < parts_.size()) {
        read_part();
        return;
    }
    heard();
    handed_on_ = std::max(handed_on_, version_);
    listener_.on_table(rows_);
    rows_.clear();
    rows_.shrink_to_fit();
    follow();
}

void table_follower::follow() {
    asked_ = clock_.now();
    store_.follow(table_, version_, wait_, lifetime_.guard([this](const auto& read) {
        if (read) {
            version_ = std::max(version_, read->version);
            handed_on_ = std::max(handed_on_, version_);
            heard();
            if (read->rows.empty()) {
                follow();
                return;
            }
            listener_.on_changes(read->rows);
            const bool is_behind =
                catch_up_ == catch_up::by_reading && lists_a_row_twice(read->rows);
            later(pause_, is_behind ? &table_follower::start : &table_follower::follow);
            return;
        }
        if (read.error().failure == fleet::store_failure::history_gone) {
            spdlog::info("event=table_reread table={} version={}", table_.str(), version_.value());
            start();
            return;
        }
        lost(read.error());
        const bool is_behind = catch_up_ == catch_up::by_reading &&
                               read.error().failure == fleet::store_failure::answer_lost;
        later(retry_pause, is_behind ? &table_follower::start : &table_follower::follow);
    }));
}

void table_follower::lost(const fleet::store_error& error) {
    if (!lost_since_) {
        lost_since_ = clock_.now();
        spdlog::info("event=feed_lost table={} version={} reason={}", table_.str(),
                     version_.value(), fleet::to_string(error.failure));
    }
    listener_.on_unreadable();
}

void table_follower::heard() {
    if (lost_since_) {
        spdlog::info(
            "event=feed_back table={} version={} after_ms={}", table_.str(), version_.value(),
            std::chrono::duration_cast<base::milliseconds>(clock_.now() - *lost_since_).count());
        lost_since_.reset();
    }
    as_of_ = asked_;
    listener_.on_current();
}

void table_follower::later(base::milliseconds pause, void (table_follower::*step)()) {
    next_ = loop_.after(pause, [this, step] { (this->*step)(); });
}

}  // namespace cranberrydock::steward
