// A cell's journal in the platform's table service.
#include "cell_journal.hpp"

#include <cranberrydock/cell/record_codec.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace cranberrydock::daemon {
namespace {

constexpr std::size_t rows_per_page = 100;
constexpr std::size_t rows_per_delete = 100;
constexpr std::size_t rows_before_compaction = 512;
constexpr base::milliseconds read_retry_delay{200};
constexpr base::milliseconds tick_period{100};

}  // namespace

cell_journal::cell_journal(const cell_start& start, net::event_loop& loop,
                           platform::table_service& table, const base::clock& clock,
                           journal_client& client)
    : cell_(start.cell),
      guard_(start.guard),
      loop_(loop),
      table_(table),
      clock_(clock),
      client_(client),
      writer_({start.cell, start.epoch, start.guard}),
      tick_timer_(loop.every(tick_period, [this] { tick(); })) {}

void cell_journal::read(journal_read_callback done) {
    read_done_ = std::move(done);
    read_page({});
}

void cell_journal::read_page(const platform::row_key& after) {
    std::weak_ptr<cell_journal*> self = self_;
    table_.scan(
        cell::journal_prefix(cell_), after, rows_per_page,
        [self, after](const tl::expected<std::vector<platform::row>, platform::store_error>& page) {
            const auto journal = self.lock();
            if (!journal) {
                return;
            }
            if (page) {
                (*journal)->add_page(*page);
                return;
            }
            (*journal)->retry_timer_ = (*journal)->loop_.after(
                read_retry_delay, [journal = *journal, after] { journal->read_page(after); });
        });
}

void cell_journal::add_page(const std::vector<platform::row>& rows) {
    for (const auto& it : rows) {
        auto records = cell::decode_records(it.value);
        if (!records) {
            // The row stays in the store, so that no data is lost. An operator has to examine it.
            spdlog::error("event=journal_row_unreadable row={} findings=\"{}\"", it.key.str(),
                          records.error().text());
            continue;
        }
        rows_.push_back({it.key, false});
        read_records_.insert(read_records_.end(), std::make_move_iterator(records->begin()),
                             std::make_move_iterator(records->end()));
    }
    if (rows.size() == rows_per_page) {
        read_page(rows.back().key);
        return;
    }
    read_done_(std::exchange(read_records_, {}));
}

void cell_journal::append(cell::record_id id, const cell::work_record& record) {
    carry_out(writer_.append(id, record, clock_.now()));
}

void cell_journal::tick() {
    carry_out(writer_.tick(clock_.now()));
    if (rows_.size() >= rows_before_compaction && !compaction_ && writer_.idle()) {
        begin_compaction();
    }
}

void cell_journal::carry_out(const std::vector<cell::journal_effect>& effects) {
    for (const auto& it : effects) {
        std::visit([this](const auto& effect) { carry_out(effect); }, it);
    }
}

void cell_journal::carry_out(const cell::journal_commit& effect) {
    std::weak_ptr<cell_journal*> self = self_;
    table_.commit(
        effect.transaction,
        [self](const tl::expected<platform::commit_result, platform::store_error>& result) {
            if (const auto journal = self.lock()) {
                (*journal)->carry_out(
                    (*journal)->writer_.committed(result, (*journal)->clock_.now()));
            }
        });
}

void cell_journal::carry_out(const cell::journal_read& effect) {
    std::weak_ptr<cell_journal*> self = self_;
    table_.read(
        effect.key,
        [self](const tl::expected<std::optional<platform::row>, platform::store_error>& result) {
            if (const auto journal = self.lock()) {
                (*journal)->carry_out(
                    (*journal)->writer_.read_back(result, (*journal)->clock_.now()));
            }
        });
}

void cell_journal::carry_out(const cell::records_durable& effect) {
    rows_.push_back({effect.row, effect.answer_lost});
    bool snapshot_done = false;  // completed by these records; the deletion must begin only once
    for (const auto& id : effect.records) {
        if (compaction_ && compaction_->pending_records.erase(id) > 0) {
            snapshot_done = compaction_->pending_records.empty();
        }
        if (id.value() > 0) {
            client_.on_record(cell::record_durable{id});
        }
    }
    if (snapshot_done) {
        delete_old_rows();
    }
}

void cell_journal::carry_out(const cell::records_failed& effect) {
    for (const auto& id : effect.records) {
        if (compaction_ && compaction_->pending_records.count(id) > 0) {
            // The old rows stay, and a later tick begins another compaction.
            compaction_.reset();
            continue;
        }
        if (id.value() > 0) {
            client_.on_record(cell::record_failed{id, effect.may_be_written});
        }
    }
}

// Called only while no write is under way: the snapshot then covers all records of the rows.
void cell_journal::begin_compaction() {
    compaction_ = std::make_unique<compaction>();
    compaction_->old_rows = rows_;
    const auto records = client_.snapshot();
    spdlog::info("event=journal_compaction cell={} rows={} records={}", cell_.str(), rows_.size(),
                 records.size());
    // Registers all records before the first one is written: otherwise a record that becomes
    // durable at once would complete the snapshot alone.
    const std::int64_t first_id = next_snapshot_id_;
    for (std::size_t i = 0; i < records.size(); ++i) {
        compaction_->pending_records.insert(cell::record_id(next_snapshot_id_--));
    }
    std::int64_t id = first_id;
    for (const auto& it : records) {
        append(cell::record_id(id--), it);
    }
    if (records.empty()) {
        delete_old_rows();
    }
}

void cell_journal::delete_old_rows() {
    auto& old = compaction_->old_rows;
    if (old.empty()) {
        compaction_.reset();
        return;
    }
    const std::size_t n = std::min(old.size(), rows_per_delete);
    platform::transaction deletion;
    deletion.conditions = {guard_};
    for (std::size_t i = 0; i < n; ++i) {
        std::optional<std::string> emptied;
        if (old[i].keep_row) {
            emptied = cell::encode_records({});
        }
        deletion.writes.push_back({old[i].key, std::move(emptied)});
    }
    std::weak_ptr<cell_journal*> self = self_;
    table_.commit(deletion, [self, n](const auto& result) {
        const auto journal = self.lock();
        if (!journal || !(*journal)->compaction_) {
            return;
        }
        auto& rows = (*journal)->compaction_->old_rows;
        if (!result) {
            // The next owner reads the remaining rows once more. That is harmless: the snapshot
            // covers their records.
            (*journal)->compaction_.reset();
            return;
        }
        const auto deleted = static_cast<std::ptrdiff_t>(n);
        (*journal)->rows_.erase((*journal)->rows_.begin(), (*journal)->rows_.begin() + deleted);
        rows.erase(rows.begin(), rows.begin() + deleted);
        (*journal)->delete_old_rows();
    });
}

}  // namespace cranberrydock::daemon
