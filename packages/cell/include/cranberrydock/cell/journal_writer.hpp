// Writes a cell's journal. Batches records into rows, with one transaction per row. Each
// transaction is conditional on the cell's guard row, so an owner that has been replaced can't
// write. A pure state machine. A row's key contains the epoch and a sequence number, and only this
// owner writes it; so after a lost answer, reading the row shows whether the write was applied.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/cell_messages.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberrydock::cell {

struct journal_settings {
    base::cell_id cell;
    base::epoch epoch;
    platform::row_condition guard;
    std::size_t records_per_row = 256;
    base::byte_count bytes_per_row{512 * 1024};
    base::milliseconds retry{200};  // between attempts whose answers were lost
    // Once attempts whose answers were lost have taken this long, the outcome of a batch counts as
    // unknown.
    base::milliseconds retry_timeout{5'000};
};

// ---- effects. At most one commit or read is pending at a time.

struct journal_commit {
    platform::transaction transaction;
};

struct journal_read {
    platform::row_key key;
};

struct records_durable {
    platform::row_key row;  // that holds the records
    std::vector<record_id> records;
    // A pending attempt may still write this row if the row does not exist. While this owner's
    // guard holds, the row may be emptied but must not be deleted.
    bool answer_lost = false;
};

// `may_be_written` false: the records were not written and never will be.
struct records_failed {
    std::vector<record_id> records;
    bool may_be_written = false;
};

using journal_effect = std::variant<journal_commit, journal_read, records_durable, records_failed>;

class journal_writer {
public:
    explicit journal_writer(journal_settings settings) : settings_(std::move(settings)) {}

    // Queues a record. Like the functions below, returns the effects to carry out in order.
    std::vector<journal_effect> append(record_id id, work_record record, base::time_point now);
    // Takes the result of the pending journal_commit.
    std::vector<journal_effect> committed(
        const tl::expected<platform::commit_result, platform::store_error>& result,
        base::time_point now);
    // Takes the result of the pending journal_read.
    std::vector<journal_effect> read_back(
        const tl::expected<std::optional<platform::row>, platform::store_error>& result,
        base::time_point now);
    // Sends the current batch again once its pause has ended.
    std::vector<journal_effect> tick(base::time_point now);

    // Another owner has taken the cell: this writer writes nothing more.
    bool guard_lost() const { return guard_lost_; }
    bool idle() const { return !batch_ && waiting_.empty(); }

private:
    struct waiting_record {
        record_id id;
        work_record record;
    };

    enum class batch_state {
        committing,
        reading_back,
        pausing,  // waits between attempts whose answers were lost
    };

    struct batch {
        std::vector<record_id> ids;
        platform::transaction transaction;
        base::time_point started_at;
        base::time_point next_try{};
        batch_state state = batch_state::committing;
        bool answer_lost = false;  // of any attempt: the row may exist
    };

    platform::row_key next_row() const;
    void begin_batch(base::time_point now);
    void end_batch(bool durable, bool may_be_written);
    void pause(base::time_point now);
    std::vector<journal_effect> take_effects();

    const journal_settings settings_;
    // Sequence number of the row for the current batch, or for the next batch when there is none.
    std::int64_t sequence_ = 0;
    std::deque<waiting_record> waiting_;
    std::optional<batch> batch_;
    bool guard_lost_ = false;
    std::vector<journal_effect> out_;
};

// The prefix of a cell's journal rows. Their key order is the order in which they were written.
platform::row_key journal_prefix(const base::cell_id& cell);

}  // namespace cranberrydock::cell
