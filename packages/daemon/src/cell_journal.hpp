// A cell's journal in the platform's table service: reads the records of previous owners, writes
// the records of this owner's decider, and compacts the rows into a snapshot when they have become
// many.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/cell_messages.hpp>
#include <cranberrydock/cell/journal_writer.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include "cell_host.hpp"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace cranberrydock::daemon {

// The owned cell that uses the journal; called on the loop of the cell.
class journal_client {
public:
    virtual ~journal_client() = default;
    // `event` is a record_durable or a record_failed.
    virtual void on_record(const cell::cell_event& event) = 0;
    // Records that hold the complete current state of the cell.
    virtual std::vector<cell::work_record> snapshot() const = 0;
};

using journal_read_callback = std::function<void(std::vector<cell::work_record>)>;

class cell_journal {
public:
    cell_journal(const cell_start& start, net::event_loop& loop, platform::table_service& table,
                 const base::clock& clock, journal_client& client);

    // Reads the records of previous owners, and retries until the store has returned all of them.
    void read(journal_read_callback done);

    // Writes the record; on_record() reports the outcome for `id`. Ids are positive: negative ones
    // are reserved for the records of snapshots.
    void append(cell::record_id id, const cell::work_record& record);

private:
    struct journal_row {
        platform::row_key key;
        // The compaction empties the row instead of deleting it; see records_durable::answer_lost.
        bool keep_row = false;
    };

    // The replacement of the old rows by a snapshot.
    struct compaction {
        std::vector<journal_row> old_rows;
        std::set<cell::record_id> pending_records;  // of the snapshot, not durable yet
    };

    void read_page(const platform::row_key& after);
    void add_page(const std::vector<platform::row>& rows);
    void carry_out(const std::vector<cell::journal_effect>& effects);
    void carry_out(const cell::journal_commit& effect);
    void carry_out(const cell::journal_read& effect);
    void carry_out(const cell::records_durable& effect);
    void carry_out(const cell::records_failed& effect);
    void tick();
    void begin_compaction();
    void delete_old_rows();

    const base::cell_id cell_;
    const platform::row_condition guard_;
    net::event_loop& loop_;
    platform::table_service& table_;
    const base::clock& clock_;
    journal_client& client_;
    cell::journal_writer writer_;
    journal_read_callback read_done_;
    std::vector<cell::work_record> read_records_;
    std::vector<journal_row> rows_;  // that exist in the store, in key order
    std::unique_ptr<compaction> compaction_;
    std::int64_t next_snapshot_id_ = -1;  // the records of snapshots have negative ids
    std::unique_ptr<net::timer> retry_timer_;
    std::unique_ptr<net::timer> tick_timer_;
    // Callbacks hold a weak pointer to it, so that they do nothing after the destruction.
    std::shared_ptr<cell_journal*> self_ = std::make_shared<cell_journal*>(this);
};

}  // namespace cranberrydock::daemon
