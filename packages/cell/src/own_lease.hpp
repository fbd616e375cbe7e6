// This daemon's own row: writing it first, renewing it, and what is known after lost answers.
#pragma once

#include <cranberrydock/cell/ownership.hpp>

#include <deque>
#include <optional>

namespace cranberrydock::cell::detail {

// One renewal. Its transaction is conditional on the rows of `cells`, so once it is known to have
// been applied, this daemon owned each of them at a moment after `sent`.
struct renewal {
    std::int64_t number = 0;
    base::time_point sent;
    std::vector<base::cell_id> cells;
};

class own_lease {
public:
    explicit own_lease(const ownership_settings& settings) : settings_(settings) {}

    bool may_send(base::time_point now) const {
        return certain_ && !in_flight_ && !removing_ && now >= next_;
    }
    bool in_flight() const { return in_flight_.has_value(); }
    bool certain() const { return certain_; }
    platform::row_version version() const { return version_; }

    // Renews at once instead of when the period is over.
    void hurry() { next_ = base::time_point::min(); }

    platform::transaction begin(operation_id operation, std::vector<base::cell_id> cells,
                                const std::vector<platform::row_condition>& guards, bool stopping,
                                base::time_point now);

    // The renewal, when it was applied.
    std::optional<renewal> finished(
        const tl::expected<platform::commit_result, platform::store_error>& result,
        base::time_point now);

    bool is_mine(operation_id operation) const { return in_flight_ == operation; }

    // The own row as a scan shows it, or null; the renewal that wrote it, when it is one whose
    // answer was lost.
    std::optional<renewal> seen(const daemon_row* row, platform::row_version version,
                                base::time_point scan_sent);

    // The row may have another version than believed: a scan that is sent from now on tells.
    void forget_version(base::time_point now);

    // The row is to be removed: no renewal follows.
    platform::transaction remove();

private:
    std::optional<renewal> confirm(std::int64_t number);

    ownership_settings settings_;
    platform::row_version version_{0};
    std::int64_t count_ = 0;  // of attempts; each has its own number, applied or not
    bool certain_ = true;     // whether `version_` is believed to be the row's
    bool removing_ = false;
    base::time_point uncertain_since_{};
    base::time_point next_ = base::time_point::min();
    std::optional<operation_id> in_flight_;
    std::deque<renewal> unconfirmed_;
};

}  // namespace cranberrydock::cell::detail
