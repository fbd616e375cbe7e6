// Which daemon asks a placement question.
#include <cranberrydock/base/check.hpp>
#include <cranberrydock/fleet/adviser_choice.hpp>

#include <algorithm>
#include <vector>

namespace cranberrydock::fleet {
namespace {

// One question is answered while the next is on its way.
constexpr std::size_t most_open = 2;
// Short questions: far below the 32 at which the service turns callers away.
constexpr std::size_t most_open_short = 8;
// One daemon in so many is kept for short questions.
constexpr std::size_t daemons_per_kept = 6;
// An answer that is late by so much, or by the question's own service time, is overdue.
constexpr milliseconds overdue_after{250};
// Avoided for so long after a failure, twice as long after each further one, at most so many times.
constexpr milliseconds avoid_after_failure{500};
constexpr int most_doublings = 5;
// A question is given up after this and twice the time that it is expected to take.
constexpr milliseconds least_patience{400};
constexpr int smoothing = 4;  // how many answers the round trip follows

}  // namespace

void adviser_choice::set_advisers(const std::set<std::string>& names) {
    for (auto it = advisers_.begin(); it != advisers_.end();) {
        it = names.count(it->first) == 0 ? advisers_.erase(it) : std::next(it);
    }
    for (const auto& it : names) {
        advisers_.try_emplace(it);
    }
}

bool adviser_choice::usable(const adviser& one, base::time_point now) {
    if (now < one.avoid_until || (one.failures > 0 && !one.open.empty())) {
        return false;
    }
    return std::none_of(one.open.begin(), one.open.end(), [now](const auto& it) {
        return now > it.second.expected + std::max(overdue_after, it.second.service_time);
    });
}

std::set<std::string> adviser_choice::usable_names(base::time_point now) const {
    std::set<std::string> out;
    for (const auto& it : advisers_) {
        if (usable(it.second, now)) {
            out.insert(it.first);
        }
    }
    return out;
}

std::set<std::string> adviser_choice::kept_for_short(const std::set<std::string>& names) const {
    std::vector<std::pair<base::duration, std::string>> by_distance;
    by_distance.reserve(names.size());
    for (const auto& it : names) {
        if (advisers_.at(it).failures == 0) {
            by_distance.emplace_back(advisers_.at(it).round_trip, it);
        }
    }
    const auto kept = static_cast<std::ptrdiff_t>(by_distance.size() / daemons_per_kept);
    std::partial_sort(by_distance.begin(), by_distance.begin() + kept, by_distance.end());
    std::set<std::string> out;
    for (auto it = by_distance.begin(); it != by_distance.begin() + kept; ++it) {
        out.insert(it->second);
    }
    return out;
}

adviser_room adviser_choice::room(base::time_point now) const {
    const auto names = usable_names(now);
    const auto kept = kept_for_short(names);
    adviser_room out;
    for (const auto& it : names) {
        const std::size_t open = advisers_.at(it).open.size();
        const bool is_kept = kept.count(it) > 0;
        const std::size_t most = advisers_.at(it).failures > 0 ? 1
                                 : is_kept                     ? most_open_short
                                                               : most_open;
        const int n = static_cast<int>(most - std::min(most, open));
        out.questions += n;
        out.long_questions += is_kept ? 0 : n;
    }
    return out;
}

base::time_point adviser_choice::expected_answer(const adviser& one, base::time_point now,
                                                 milliseconds service_time) {
    const base::duration one_way = one.round_trip / 2;
    return std::max(now + one_way, one.free_from) + service_time + one_way;
}

std::string adviser_choice::choose(base::time_point now, milliseconds service_time,
                                   bool is_long) const {
    CRANBERRYDOCK_CHECK(!advisers_.empty(), "at least one daemon that can ask");
    const auto names = usable_names(now);
    const auto kept = is_long ? kept_for_short(names) : std::set<std::string>{};
    const auto best_of = [&](const auto& allowed) {
        auto best = advisers_.end();
        for (auto it = advisers_.begin(); it != advisers_.end(); ++it) {
            if (allowed(it->first) &&
                (best == advisers_.end() || expected_answer(it->second, now, service_time) <
                                                expected_answer(best->second, now, service_time))) {
                best = it;
            }
        }
        return best;
    };
    auto best =
        best_of([&](const std::string& it) { return names.count(it) > 0 && kept.count(it) == 0; });
    if (best == advisers_.end()) {
        best = best_of([](const std::string&) { return true; });
    }
    return best->first;
}

milliseconds adviser_choice::patience(const std::string& name, base::time_point now,
                                      milliseconds service_time) const {
    const auto expected = expected_answer(advisers_.at(name), now, service_time) - now;
    return std::chrono::duration_cast<milliseconds>(expected * 2) + least_patience;
}

adviser_choice::question_number adviser_choice::asked(const std::string& name, base::time_point now,
                                                      milliseconds service_time) {
    adviser& one = advisers_.at(name);
    const auto expected = expected_answer(one, now, service_time);
    one.open[++last_question_] = {now, expected, service_time, one.open.empty()};
    one.free_from = std::max(now + one.round_trip / 2, one.free_from) + service_time;
    return last_question_;
}

void adviser_choice::answered(const std::string& name, question_number question,
                              base::time_point now, bool worked) {
    const auto it = advisers_.find(name);
    if (it == advisers_.end()) {
        return;  // the daemon has gone
    }
    adviser& one = it->second;
    const auto open = one.open.find(question);
    if (open == one.open.end()) {
        return;  // it went and came back meanwhile
    }
    const open_question what = open->second;
    one.open.erase(open);
    if (one.open.empty()) {
        one.free_from = now;
    }
    if (!worked) {
        // Questions that were open together fail together.
        if (now >= one.avoid_until) {
            one.avoid_until =
                now + avoid_after_failure * (1 << std::min(one.failures, most_doublings));
            ++one.failures;
        }
        return;
    }
    one.failures = 0;
    if (what.alone) {
        const base::duration beyond =
            std::max<base::duration>(base::duration{0}, now - what.asked - what.service_time);
        one.round_trip =
            one.measured ? one.round_trip + (beyond - one.round_trip) / smoothing : beyond;
        one.measured = true;
    }
}

}  // namespace cranberrydock::fleet
