// Writes a cell's journal.
#include <cranberrydock/cell/journal_writer.hpp>
#include <cranberrydock/cell/record_codec.hpp>

#include <algorithm>
#include <utility>

namespace cranberrydock::cell {
namespace {

// Digits of epochs and sequence numbers in keys, padded so that the keys sort in numeric order.
constexpr std::size_t number_digits = 14;
constexpr std::size_t record_overhead = 512;  // bytes of a record without payload and answers

std::string padded(std::int64_t n) {
    const std::string digits = std::to_string(n);
    return std::string(number_digits - std::min(number_digits, digits.size()), '0') + digits;
}

// Estimates the size of a record in a row, in bytes.
class size_estimate {
public:
    std::size_t operator()(const accepted_record& record) const {
        return record_overhead + record.spec.payload.size();
    }
    std::size_t operator()(const outcome_record& record) const {
        std::size_t n = record_overhead;
        if (const auto* const answered = std::get_if<base::work_answered>(&record.outcome)) {
            for (const auto& it : answered->answers) {
                n += record_overhead + it.content.size();
            }
        }
        return n;
    }
    template <typename Record>
    std::size_t operator()(const Record& /*record*/) const {
        return record_overhead;
    }
};

}  // namespace

platform::row_key journal_prefix(const base::cell_id& cell) {
    return platform::row_key("journal/" + cell.str() + "/");
}

platform::row_key journal_writer::next_row() const {
    return platform::row_key(journal_prefix(settings_.cell).str() +
                             padded(settings_.epoch.value()) + "/" + padded(sequence_));
}

std::vector<journal_effect> journal_writer::append(record_id id, work_record record,
                                                   base::time_point now) {
    if (guard_lost_) {
        out_.emplace_back(records_failed{{id}, false});
        return take_effects();
    }
    waiting_.push_back({id, std::move(record)});
    begin_batch(now);
    return take_effects();
}

void journal_writer::begin_batch(base::time_point now) {
    if (batch_ || waiting_.empty()) {
        return;
    }
    batch next;
    std::vector<work_record> records;
    std::size_t bytes = 0;
    while (!waiting_.empty() && records.size() < settings_.records_per_row) {
        const std::size_t n = std::visit(size_estimate{}, waiting_.front().record);
        const bool full = !records.empty() &&
                          bytes + n > static_cast<std::size_t>(settings_.bytes_per_row.value());
        if (full) {
            break;
        }
        bytes += n;
        next.ids.push_back(waiting_.front().id);
        records.push_back(std::move(waiting_.front().record));
        waiting_.pop_front();
    }
    next.transaction.conditions = {settings_.guard, {next_row(), platform::row_version(0)}};
    next.transaction.writes = {{next_row(), encode_records(records)}};
    next.started_at = now;
    batch_ = std::move(next);
    out_.emplace_back(journal_commit{batch_->transaction});
}

std::vector<journal_effect> journal_writer::committed(
    const tl::expected<platform::commit_result, platform::store_error>& result,
    base::time_point now) {
    if (!batch_ || batch_->state != batch_state::committing) {
        return take_effects();
    }
    if (result) {
        end_batch(true, false);
    } else if (result.error() == platform::store_error::answer_lost) {
        batch_->answer_lost = true;
        pause(now);
    } else if (!batch_->answer_lost) {
        // This is the first answer, and it proves that nothing was written.
        guard_lost_ = result.error() == platform::store_error::conflict;
        end_batch(false, false);
    } else if (result.error() == platform::store_error::conflict) {
        // Either an earlier attempt was applied or the guard has changed; reading the row shows
        // which.
        batch_->state = batch_state::reading_back;
        out_.emplace_back(journal_read{batch_->transaction.writes.front().key});
    } else {
        pause(now);
    }
    begin_batch(now);
    return take_effects();
}

std::vector<journal_effect> journal_writer::read_back(
    const tl::expected<std::optional<platform::row>, platform::store_error>& result,
    base::time_point now) {
    if (!batch_ || batch_->state != batch_state::reading_back) {
        return take_effects();
    }
    if (!result) {
        pause(now);
    } else if (result->has_value()) {
        end_batch(true, false);
    } else {
        // The guard has changed for good, so no pending attempt can be applied any more. But an
        // earlier attempt may have been applied, and the next owner may have read that row and
        // replaced it by a snapshot.
        guard_lost_ = true;
        end_batch(false, true);
    }
    begin_batch(now);
    return take_effects();
}

void journal_writer::pause(base::time_point now) {
    if (now - batch_->started_at >= settings_.retry_timeout) {
        end_batch(false, true);
        return;
    }
    batch_->state = batch_state::pausing;
    batch_->next_try = now + settings_.retry;
}

std::vector<journal_effect> journal_writer::tick(base::time_point now) {
    if (batch_ && batch_->state == batch_state::pausing && now >= batch_->next_try) {
        batch_->state = batch_state::committing;
        out_.emplace_back(journal_commit{batch_->transaction});
    }
    begin_batch(now);
    return take_effects();
}

void journal_writer::end_batch(bool durable, bool may_be_written) {
    if (durable) {
        out_.emplace_back(records_durable{next_row(), std::move(batch_->ids), batch_->answer_lost});
    } else {
        out_.emplace_back(records_failed{std::move(batch_->ids), may_be_written});
    }
    batch_.reset();
    // A row key is used again only if the row is known not to exist.
    sequence_ += durable || may_be_written ? 1 : 0;
    if (!guard_lost_) {
        return;
    }
    std::vector<record_id> rest;
    for (const auto& it : waiting_) {
        rest.push_back(it.id);
    }
    waiting_.clear();
    if (!rest.empty()) {
        out_.emplace_back(records_failed{std::move(rest), false});
    }
}

std::vector<journal_effect> journal_writer::take_effects() {
    return std::exchange(out_, {});
}

}  // namespace cranberrydock::cell
