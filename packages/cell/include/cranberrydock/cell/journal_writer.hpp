// How an owner writes its cell's journal: many records in one row, one transaction a row, each
// conditional on the cell's guard row, so that an owner that was replaced writes nothing more. A
// pure state machine. A row's key holds epoch and sequence number and only this owner writes it, so
// after a lost answer the row's existence tells what became of the write.
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
    base::milliseconds retry{200};       // between attempts whose answers were lost
    base::milliseconds patience{5'000};  // with them, before a batch counts as of unknown fate
};

// ---- effects. At most one commit or read is under way at a time.

struct journal_commit {
    platform::transaction what;
};

struct journal_read {
    platform::row_key key;
};

struct records_durable {
    platform::row_key row;  // where they stand
    std::vector<record_id> records;
    // An attempt to write the row may still be on its way and would be applied if the row did not
    // exist: while this owner's guard holds, the row may be emptied but not deleted.
    bool answer_lost = false;
};

// `may_be_written` false: not written, and never will be.
struct records_failed {
    std::vector<record_id> records;
    bool may_be_written = false;
};

using journal_effect = std::variant<journal_commit, journal_read, records_durable, records_failed>;

class journal_writer {
public:
    explicit journal_writer(journal_settings settings) : settings_(std::move(settings)) {}

    std::vector<journal_effect> append(record_id id, work_record record, base::time_point now);
    std::vector<journal_effect> committed(
        const tl::expected<platform::commit_result, platform::store_error>& result,
        base::time_point now);
    std::vector<journal_effect> read_back(
        const tl::expected<std::optional<platform::row>, platform::store_error>& result,
        base::time_point now);
    std::vector<journal_effect> tick(base::time_point now);

    // Another owner has the cell: nothing is written any more.
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
        pausing,  // between attempts whose answers were lost
    };

    struct batch {
        std::vector<record_id> ids;
        platform::transaction what;
        base::time_point begun;
        base::time_point next_try{};
        batch_state state = batch_state::committing;
        bool answer_lost = false;  // of any attempt: the row may exist
    };

    platform::row_key next_row() const;
    void begin_batch(base::time_point now);
    void end_batch(bool durable, bool may_be_written);
    void pause(base::time_point now);
    std::vector<journal_effect> take();

    const journal_settings settings_;
    std::int64_t sequence_ = 0;  // of the row that the batch in hand, or else the next one, goes to
    std::deque<waiting_record> waiting_;
    std::optional<batch> batch_;
    bool guard_lost_ = false;
    std::vector<journal_effect> out_;
};

// The prefix of a cell's journal rows, in whose key order they were written.
platform::row_key journal_prefix(const base::cell_id& cell);

}  // namespace cranberrydock::cell
