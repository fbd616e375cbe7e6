// A cell's journal in the platform's table service: reads what earlier owners wrote, writes what
// this owner's decider wants written, and replaces rows that have become many by a snapshot.
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

// Who the journal works for; called on the loop.
class journal_client {
public:
    virtual ~journal_client() = default;
    virtual void on_record(const cell::cell_event& event) = 0;  // record_durable, record_failed
    virtual std::vector<cell::work_record> snapshot() const = 0;
};

using journal_read_callback = std::function<void(std::vector<cell::work_record>)>;

class cell_journal {
public:
    cell_journal(const cell_start& start, net::event_loop& loop, platform::table_service& table,
                 const base::clock& clock, journal_client& client);

    // Reads what earlier owners wrote, trying again until the store gives it.
    void read(journal_read_callback done);

    void append(cell::record_id id, const cell::work_record& record);

private:
    struct journal_row {
        platform::row_key key;
        bool keep = false;  // to be emptied instead of deleted; see records_durable::answer_lost
    };

    // One replacement of old rows by a snapshot.
    struct compaction {
        std::vector<journal_row> old_rows;
        std::set<cell::record_id> awaited;  // the snapshot's records that are not durable yet
    };

    void read_page(const platform::row_key& after);
    void take_page(const std::vector<platform::row>& rows);
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
    std::vector<journal_row> rows_;  // known to exist, in key order
    std::unique_ptr<compaction> compaction_;
    std::int64_t next_own_record_ = -1;  // the snapshot's records have negative ids
    std::unique_ptr<net::timer> again_;
    std::unique_ptr<net::timer> ticks_;
    // Answers that come after this journal is gone find it so.
    std::shared_ptr<cell_journal*> self_ = std::make_shared<cell_journal*>(this);
};

}  // namespace cranberrydock::daemon
