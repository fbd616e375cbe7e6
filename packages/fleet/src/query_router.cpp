// Implements the choice of the daemon for a placement query.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/fleet/query_router.hpp>

#include <algorithm>
#include <vector>

namespace cranberrydock::fleet {
namespace {

// The service handles one query while the next one is in transit.
constexpr std::size_t max_open_queries = 2;
// Limit for short queries. The service rejects callers at 32 queries, so this leaves a wide margin.
constexpr std::size_t max_open_short_queries = 8;
// One of this many daemons is reserved for short queries.
constexpr std::size_t daemons_per_reserved = 6;
// An answer is overdue when it is late by this duration or by the query's own service time,
// whichever is longer.
constexpr milliseconds overdue_after{250};
// A daemon is avoided for this duration after a failure. The duration doubles with each further
// failure, at most `max_doublings` times.
constexpr milliseconds avoid_after_failure{500};
constexpr int max_doublings = 5;
// A daemon is avoided as well if more answers than this may have been missed on end.
constexpr int max_missed = 1;
// A query times out after this duration plus twice the time that it is expected to take.
constexpr milliseconds min_timeout{400};
constexpr int round_trip_smoothing = 4;  // a new sample has the weight 1 / round_trip_smoothing

}  // namespace

void query_router::set_daemons(const std::set<std::string>& names) {
    for (auto it = daemons_.begin(); it != daemons_.end();) {
        it = names.count(it->first) == 0 ? daemons_.erase(it) : std::next(it);
    }
    for (const auto& it : names) {
        daemons_.try_emplace(it);
    }
}

bool query_router::usable(const daemon_state& daemon, base::time_point now) {
    if (now < daemon.avoid_until || (daemon.failures > 0 && !daemon.open_queries.empty())) {
        return false;
    }
    return std::none_of(
        daemon.open_queries.begin(), daemon.open_queries.end(), [now](const auto& it) {
            return now >
                   it.second.answer_expected_at + std::max(overdue_after, it.second.service_time);
        });
}

std::set<std::string> query_router::usable_daemons(base::time_point now) const {
    std::set<std::string> out;
    for (const auto& it : daemons_) {
        if (usable(it.second, now)) {
            out.insert(it.first);
        }
    }
    return out;
}

std::set<std::string> query_router::reserved_for_short(const std::set<std::string>& names) const {
    std::vector<std::pair<base::duration, std::string>> by_distance;
    by_distance.reserve(names.size());
    for (const auto& it : names) {
        if (daemons_.at(it).failures == 0) {
            by_distance.emplace_back(daemons_.at(it).round_trip, it);
        }
    }
    const auto reserved_count =
        static_cast<std::ptrdiff_t>(by_distance.size() / daemons_per_reserved);
    std::partial_sort(by_distance.begin(), by_distance.begin() + reserved_count, by_distance.end());
    std::set<std::string> out;
    for (auto it = by_distance.begin(); it != by_distance.begin() + reserved_count; ++it) {
        out.insert(it->second);
    }
    return out;
}

query_budget query_router::budget(base::time_point now) const {
    const auto names = usable_daemons(now);
    const auto reserved = reserved_for_short(names);
    query_budget out;
    for (const auto& it : names) {
        const std::size_t open = daemons_.at(it).open_queries.size();
        const bool is_reserved = reserved.count(it) > 0;
        const std::size_t limit = daemons_.at(it).failures > 0 ? 1
                                  : is_reserved                ? max_open_short_queries
                                                               : max_open_queries;
        const int n = static_cast<int>(limit - std::min(limit, open));
        out.queries += n;
        out.long_queries += is_reserved ? 0 : n;
    }
    return out;
}

base::time_point query_router::expected_answer_time(const daemon_state& daemon,
                                                    base::time_point now,
                                                    milliseconds service_time) {
    const base::duration one_way_delay = daemon.round_trip / 2;
    return std::max(now + one_way_delay, daemon.service_free_at) + service_time + one_way_delay;
}

std::string query_router::select(base::time_point now, milliseconds service_time,
                                 bool is_long) const {
    CRANBERRYDOCK_CHECK(!daemons_.empty(), "at least one daemon can send queries");
    const auto names = usable_daemons(now);
    const auto reserved = is_long ? reserved_for_short(names) : std::set<std::string>{};
    const auto best_of = [&](const auto& allowed) {
        auto best = daemons_.end();
        for (auto it = daemons_.begin(); it != daemons_.end(); ++it) {
            if (allowed(it->first) && (best == daemons_.end() ||
                                       expected_answer_time(it->second, now, service_time) <
                                           expected_answer_time(best->second, now, service_time))) {
                best = it;
            }
        }
        return best;
    };
    auto best = best_of(
        [&](const std::string& it) { return names.count(it) > 0 && reserved.count(it) == 0; });
    if (best == daemons_.end()) {
        best = best_of([](const std::string&) { return true; });
    }
    return best->first;
}

milliseconds query_router::timeout(const std::string& name, base::time_point now,
                                   milliseconds service_time) const {
    const auto expected = expected_answer_time(daemons_.at(name), now, service_time) - now;
    return std::chrono::duration_cast<milliseconds>(expected * 2) + min_timeout;
}

query_router::query_number query_router::query_sent(const std::string& name, base::time_point now,
                                                    milliseconds service_time) {
    daemon_state& daemon = daemons_.at(name);
    const auto expected = expected_answer_time(daemon, now, service_time);
    daemon.open_queries[++last_query_] = {now, expected, service_time, daemon.open_queries.empty()};
    daemon.service_free_at =
        std::max(now + daemon.round_trip / 2, daemon.service_free_at) + service_time;
    return last_query_;
}

std::optional<query_router::open_query> query_router::take_query(const std::string& name,
                                                                 query_number number,
                                                                 base::time_point now) {
    const auto it = daemons_.find(name);
    if (it == daemons_.end()) {
        return std::nullopt;  // the daemon has been removed
    }
    daemon_state& daemon = it->second;
    const auto open = daemon.open_queries.find(number);
    if (open == daemon.open_queries.end()) {
        return std::nullopt;  // the daemon was removed and added again in the meantime
    }
    const open_query out = open->second;
    daemon.open_queries.erase(open);
    if (daemon.open_queries.empty()) {
        daemon.service_free_at = now;
    }
    return out;
}

void query_router::query_missed(const std::string& name, query_number number,
                                base::time_point now) {
    if (!take_query(name, number, now)) {
        return;
    }
    daemon_state& daemon = daemons_.at(name);
    if (++daemon.missed > max_missed) {
        daemon.avoid_until = std::max(daemon.avoid_until, now + avoid_after_failure);
    }
}

void query_router::query_completed(const std::string& name, query_number number,
                                   base::time_point now, bool succeeded) {
    const auto query = take_query(name, number, now);
    if (!query) {
        return;
    }
    daemon_state& daemon = daemons_.at(name);
    if (!succeeded) {
        // Queries that were open at the same time fail together and count as one failure.
        if (now >= daemon.avoid_until) {
            // If no daemon has answered since, the cause is not this daemon.
            const bool others_answer = last_answer_ > query->sent_at;
            const int doublings = others_answer ? std::min(daemon.failures, max_doublings) : 0;
            daemon.avoid_until = now + avoid_after_failure * (1 << doublings);
            daemon.failures = others_answer ? daemon.failures + 1 : std::max(daemon.failures, 1);
        }
        return;
    }
    last_answer_ = now;
    daemon.failures = 0;
    daemon.missed = 0;
    if (query->was_alone) {
        const base::duration round_trip_sample =
            std::max<base::duration>(base::duration{0}, now - query->sent_at - query->service_time);
        daemon.round_trip =
            daemon.has_round_trip
                ? daemon.round_trip + (round_trip_sample - daemon.round_trip) / round_trip_smoothing
                : round_trip_sample;
        daemon.has_round_trip = true;
    }
}

}  // namespace cranberrydock::fleet
