// Renewals of the own row.
#include "own_lease.hpp"

#include <cranberrydock/cell/registry_rows.hpp>

#include <algorithm>

namespace cranberrydock::cell::detail {

namespace {

// Older attempts prove nothing that a later one does not prove too.
constexpr std::size_t max_unconfirmed = 16;

}  // namespace

platform::transaction own_lease::begin(operation_id operation, std::vector<base::cell_id> cells,
                                       const std::vector<platform::row_condition>& guards,
                                       bool stopping, base::time_point now) {
    ++attempt_count_;
    in_flight_ = operation;
    next_ = now + settings_.renew_period;
    unconfirmed_.push_back({attempt_count_, now, std::move(cells)});
    if (unconfirmed_.size() > max_unconfirmed) {
        unconfirmed_.pop_front();
    }
    daemon_row row;
    row.id = settings_.self;
    row.vm = settings_.vm;
    row.region = settings_.region;
    row.zone = settings_.zone;
    row.mesh_address = settings_.mesh_address;
    row.http_address = settings_.http_address;
    row.renewals = attempt_count_;
    row.stopping = stopping;
    platform::transaction result;
    const auto key = daemon_row_key(settings_.self);
    result.conditions.push_back({key, version_});
    result.conditions.insert(result.conditions.end(), guards.begin(), guards.end());
    result.writes.push_back({key, encode(row)});
    return result;
}

std::optional<renewal> own_lease::finished(
    const tl::expected<platform::commit_result, platform::store_error>& result,
    base::time_point now) {
    in_flight_.reset();
    if (result) {
        version_ = std::max(version_, result->versions.front());
        return confirm(attempt_count_);
    }
    next_ = std::min(next_, now + settings_.scan_period / 2);
    if (result.error() != platform::store_error::unavailable) {
        // Conflict: an earlier attempt was applied late, or a cell was taken. In both cases a scan
        // that is sent after this shows the row's version.
        invalidate_version(now);
    }
    return std::nullopt;
}

std::optional<renewal> own_lease::confirm(std::int64_t number) {
    const auto it = std::find_if(unconfirmed_.begin(), unconfirmed_.end(),
                                 [&](const auto& candidate) { return candidate.number == number; });
    if (it == unconfirmed_.end()) {
        return std::nullopt;
    }
    auto result = *it;
    unconfirmed_.erase(unconfirmed_.begin(), std::next(it));
    return result;
}

std::optional<renewal> own_lease::row_scanned(const daemon_row* row, platform::row_version version,
                                              base::time_point scan_sent) {
    if (!version_known_ && !in_flight_ && scan_sent >= version_unknown_since_) {
        version_known_ = true;
        version_ = version;
        renew_immediately();
    }
    return row != nullptr ? confirm(row->renewals) : std::nullopt;
}

void own_lease::invalidate_version(base::time_point now) {
    version_known_ = false;
    version_unknown_since_ = now;
}

platform::transaction own_lease::remove() {
    removing_ = true;
    const auto key = daemon_row_key(settings_.self);
    return {{{key, version_}}, {{key, std::nullopt}}};
}

}  // namespace cranberrydock::cell::detail
