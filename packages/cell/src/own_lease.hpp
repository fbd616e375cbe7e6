// This daemon's own row: its first write, its renewals, and its state after lost answers.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include <deque>
#include <optional>

namespace cranberrydock::cell::detail {

// One renewal. Its transaction is conditional on the rows of `cells`; so once it is known to have
// been applied, this daemon owned each of them at a time after `sent`.
struct renewal {
    std::int64_t number = 0;
    base::time_point sent;
    std::vector<base::cell_id> cells;
};

class own_lease {
public:
    explicit own_lease(const ownership_settings& settings) : settings_(settings) {}

    bool may_send(base::time_point now) const {
        return version_known_ && !in_flight_ && !removing_ && now >= next_;
    }
    bool in_flight() const { return in_flight_.has_value(); }
    bool version_known() const { return version_known_; }
    platform::row_version version() const { return version_; }

    // Ends the current renew period, so that the next renewal is sent at once.
    void renew_immediately() { next_ = base::time_point::min(); }

    platform::transaction begin(operation_id operation, std::vector<base::cell_id> cells,
                                const std::vector<platform::row_condition>& guards, bool stopping,
                                base::time_point now);

    // Returns the renewal if it was applied.
    std::optional<renewal> finished(
        const tl::expected<platform::commit_result, platform::store_error>& result,
        base::time_point now);

    bool is_own_operation(operation_id operation) const { return in_flight_ == operation; }

    // Takes the own row from a scan, or null when there is none. Returns the renewal that wrote the
    // row if its answer was lost.
    std::optional<renewal> row_scanned(const daemon_row* row, platform::row_version version,
                                       base::time_point scan_sent);

    // The row's version is uncertain until a scan that is sent after `now` has read it.
    void invalidate_version(base::time_point now);

    // Returns the transaction that removes the row. No renewal follows.
    platform::transaction remove();

private:
    std::optional<renewal> confirm(std::int64_t number);

    ownership_settings settings_;
    platform::row_version version_{0};
    std::int64_t attempt_count_ = 0;  // each attempt has its own number, applied or not
    bool version_known_ = true;  // false while the row may have another version than `version_`
    bool removing_ = false;
    base::time_point version_unknown_since_{};
    base::time_point next_ = base::time_point::min();
    std::optional<operation_id> in_flight_;
    std::deque<renewal> unconfirmed_;
};

}  // namespace cranberrydock::cell::detail
