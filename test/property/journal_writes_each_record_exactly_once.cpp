// A journal writer against a model of the table service: answers are lost, commits are applied
// late, the store is unavailable, and at some point a new owner takes the cell over, reads the rows
// and compacts them. A durable record must be stored exactly once, and a record reported as not
// written must not be stored.
#include <cranberrydock/cell/journal_writer.hpp>
#include <cranberrydock/cell/record_codec.hpp>

#include "standins/table_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <map>
#include <random>
#include <set>

namespace {

using namespace cranberrydock;
using cell::record_id;

const base::cell_id cell_name("a");
const platform::row_key guard("cell/a");

class journal_simulation {
public:
    explicit journal_simulation(std::uint64_t seed) : random_(seed), writer_(settings()) {}

    void step() {
        now_ += base::milliseconds(pick(100));
        const auto action = pick(100);
        if (action < 15) {
            append();
        } else if (action < 55) {
            answer_operation(true);
        } else if (action < 57) {
            apply_late();
        } else if (action < 94) {
            carry_out(writer_.tick(now_));
        } else if (action < 99) {
            compact();
        } else if (pick(4) == 0) {
            take_over();
        }
    }

    // Runs the store without faults until the writer is idle. Returns whether it became idle.
    bool drain() {
        for (int i = 0; i < 1'000 && !(writer_.idle() && !operation_); ++i) {
            now_ += base::milliseconds(100);
            answer_operation(false);
            carry_out(writer_.tick(now_));
        }
        while (!late_commits_.empty()) {
            apply_late();
        }
        return writer_.idle();
    }

    void check_fates() {
        std::multiset<std::string> found(snapshot_records_.begin(), snapshot_records_.end());
        for (const auto& it : read_rows()) {
            found.insert(it);
        }
        for (std::int64_t id = 1; id <= last_id_; ++id) {
            const auto n = found.count(std::to_string(id));
            const auto fate = fates_.find(record_id(id));
            RC_ASSERT(fate != fates_.end());
            RC_ASSERT(n <= 1U);
            RC_ASSERT(!(fate->second == fate_kind::durable && n == 0));
            RC_ASSERT(!(fate->second == fate_kind::not_written && n == 1));
        }
        RC_ASSERT(!wrote_after_takeover_);
    }

    std::size_t count(bool durable) const {
        const auto kind = durable ? fate_kind::durable : fate_kind::unknown;
        return static_cast<std::size_t>(std::count_if(
            fates_.begin(), fates_.end(), [&](const auto& it) { return it.second == kind; }));
    }

private:
    enum class fate_kind { durable, not_written, unknown };

    cell::journal_settings settings() {
        table_.commit({{}, {{guard, "1"}}});
        cell::journal_settings result;
        result.cell = cell_name;
        result.epoch = base::epoch(1);
        result.guard = {guard, table_.version(guard)};
        result.records_per_row = 3;
        return result;
    }

    void append() {
        cell::not_run_record record;
        record.task = base::task_id(std::to_string(++last_id_));
        carry_out(writer_.append(record_id(last_id_), record, now_));
    }

    void carry_out(const std::vector<cell::journal_effect>& effects) {
        for (const auto& it : effects) {
            if (const auto* done = std::get_if<cell::records_durable>(&it)) {
                record_fate(done->records, fate_kind::durable);
                rows_.push_back(*done);
            } else if (const auto* failed = std::get_if<cell::records_failed>(&it)) {
                record_fate(failed->records,
                            failed->may_be_written ? fate_kind::unknown : fate_kind::not_written);
            } else {
                RC_ASSERT(!operation_);
                operation_ = it;
            }
        }
    }

    void record_fate(const std::vector<record_id>& ids, fate_kind fate) {
        for (const auto& id : ids) {
            RC_ASSERT(fates_.emplace(id, fate).second);
        }
    }

    void answer_operation(bool with_faults) {
        if (!operation_) {
            return;
        }
        const auto operation = *operation_;
        operation_.reset();
        const auto kind = with_faults ? pick(10) : 0;
        if (const auto* read = std::get_if<cell::journal_read>(&operation)) {
            tl::expected<std::optional<platform::row>, platform::store_error> result;
            if (kind >= 7) {
                result = tl::make_unexpected(platform::store_error::unavailable);
            } else if (const auto* row = table_.find(read->key)) {
                result = *row;
            }
            carry_out(writer_.read_back(result, now_));
            return;
        }
        const auto& commit = std::get<cell::journal_commit>(operation).transaction;
        tl::expected<platform::commit_result, platform::store_error> result;
        if (kind < 4) {
            result = apply(commit);
        } else if (kind < 5) {
            result = tl::make_unexpected(platform::store_error::unavailable);
        } else {
            result = tl::make_unexpected(platform::store_error::answer_lost);
            if (kind < 7) {
                apply(commit);
            } else if (kind < 9) {
                late_commits_.push_back(commit);
            }
        }
        carry_out(writer_.committed(result, now_));
    }

    void apply_late() {
        if (!late_commits_.empty()) {
            apply(late_commits_.front());
            late_commits_.pop_front();
        }
    }

    tl::expected<platform::commit_result, platform::store_error> apply(
        const platform::transaction& request) {
        auto result = table_.commit(request);
        wrote_after_takeover_ = wrote_after_takeover_ || (result && has_new_owner_);
        return result;
    }

    std::vector<std::string> read_row(const platform::row_key& key) const {
        std::vector<std::string> result;
        const auto* row = table_.find(key);
        RC_ASSERT(row != nullptr);
        const auto records = cell::decode_records(row->value);
        RC_ASSERT(records.has_value());
        for (const auto& it : *records) {
            result.push_back(std::get<cell::not_run_record>(it).task.str());
        }
        return result;
    }

    std::vector<std::string> read_rows() const {
        std::vector<std::string> result;
        for (const auto& row : table_.scan(cell::journal_prefix(cell_name).str())) {
            const auto records = read_row(row.key);
            result.insert(result.end(), records.begin(), records.end());
        }
        return result;
    }

    // The owner moves the records of its own rows into a snapshot.
    void compact() {
        if (has_new_owner_ || !writer_.idle()) {
            return;
        }
        for (const auto& it : rows_) {
            const auto records = read_row(it.row);
            snapshot_records_.insert(snapshot_records_.end(), records.begin(), records.end());
            std::optional<std::string> emptied;
            if (it.answer_lost) {
                emptied = cell::encode_records({});
            }
            table_.commit({{}, {{it.row, emptied}}});
        }
        rows_.clear();
    }

    // A new owner reads all rows, and deletes them once their records are in its own snapshot.
    void take_over() {
        table_.commit({{}, {{guard, "2"}}});
        has_new_owner_ = true;
        const auto records = read_rows();
        snapshot_records_.insert(snapshot_records_.end(), records.begin(), records.end());
        RC_ASSERT(std::is_sorted(records.begin(), records.end(), [](const auto& a, const auto& b) {
            return std::stoll(a) < std::stoll(b);
        }));
        for (const auto& it : table_.scan(cell::journal_prefix(cell_name).str())) {
            table_.commit({{}, {{it.key, std::nullopt}}});
        }
    }

    std::int64_t pick(std::int64_t n) {
        return std::uniform_int_distribution<std::int64_t>(0, n - 1)(random_);
    }

    std::mt19937_64 random_;
    standins::table_model table_;
    cell::journal_writer writer_;
    base::time_point now_;
    std::int64_t last_id_ = 0;
    std::optional<cell::journal_effect> operation_;
    std::list<platform::transaction> late_commits_;
    std::map<record_id, fate_kind> fates_;
    std::vector<cell::records_durable> rows_;    // since the last compaction
    std::vector<std::string> snapshot_records_;  // moved from rows into a snapshot
    bool has_new_owner_ = false;
    bool wrote_after_takeover_ = false;
};

}  // namespace

TEST(journal, writes_each_record_exactly_once) {
    std::size_t durable = 0;
    std::size_t unknown = 0;
    EXPECT_TRUE(rc::check("durable records are stored once, unwritten records are not stored", [&] {
        journal_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        for (int i = 0; i < 1'000; ++i) {
            simulation.step();
        }
        RC_ASSERT(simulation.drain());
        simulation.check_fates();
        durable += simulation.count(true);
        unknown += simulation.count(false);
    }));
    EXPECT_GT(durable, 1'000U);
    EXPECT_GT(unknown, 20U);
}
