// Whatever owners, the store and VMs do and in whichever order: no task runs on two VMs at the same
// time. Prints how close the starts came to the end of an earlier run.
#include "standins/takeover_model.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace {

using namespace cranberrydock;
using base::milliseconds;
using standins::play_takeovers;
using standins::takeover_outcome;
using standins::takeover_settings;

struct summary {
    int in_two_places = 0;
    milliseconds longest_overlap{0};
};

// Plays `count` interleavings from `seed` on.
summary play(const takeover_settings& settings, std::uint64_t seed, int count, const char* name) {
    spdlog::set_level(spdlog::level::off);
    summary out;
    takeover_outcome closest;
    std::uint64_t closest_seed = 0;
    std::string first;
    int owners = 0;
    int restarts = 0;
    int restarts_by_expiry = 0;
    for (int i = 0; i < count; ++i) {
        const std::uint64_t number = seed + static_cast<std::uint64_t>(i);
        const auto played = play_takeovers(settings, number);
        owners += played.owners;
        restarts += played.restarts;
        restarts_by_expiry += played.restarts_by_expiry;
        out.longest_overlap = std::max(out.longest_overlap, played.longest_overlap);
        if (!played.in_two_places.empty() && ++out.in_two_places == 1) {
            first = "case " + std::to_string(i + 1) + ", seed " + std::to_string(number) + ": " +
                    played.in_two_places + "\n";
        }
        if (played.smallest_margin < closest.smallest_margin) {
            closest = played;
            closest_seed = number;
        }
    }
    std::cout << name << ": " << count << " interleavings, " << owners << " owners, " << restarts
              << " restarts, " << restarts_by_expiry << " of them by expiry; in two places in "
              << out.in_two_places << " interleavings, for at most " << out.longest_overlap.count()
              << " ms\n"
              << first;
    if (!closest.at_smallest_margin.empty()) {
        std::cout << "smallest margin "
                  << std::chrono::duration_cast<milliseconds>(closest.smallest_margin).count()
                  << " ms, seed " << closest_seed << ": " << closest.at_smallest_margin << '\n';
    }
    return out;
}

// TAKEOVERS_SEED and TAKEOVERS_COUNT play other interleavings than CI does.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
    const char* const value = std::getenv(name);
    return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

constexpr std::uint64_t ci_seed = 20'261'204;
constexpr std::uint64_t ci_count = 4'500;

class restarted_task : public testing::Test {
public:
    const std::uint64_t seed = from_environment("TAKEOVERS_SEED", ci_seed);
    const int count = static_cast<int>(from_environment("TAKEOVERS_COUNT", ci_count));
    takeover_settings settings;
};

TEST_F(restarted_task, is_never_in_two_places) {
    EXPECT_EQ(play(settings, seed, count, "lease 4.5 s, stop 0.4 s").in_two_places, 0);
}

TEST_F(restarted_task, is_never_in_two_places_with_long_leases) {
    settings.lease = milliseconds(9'000);
    settings.max_stop_time = milliseconds(900);
    EXPECT_EQ(play(settings, seed, count, "lease 9 s, stop 0.9 s").in_two_places, 0);
}

// A VM that breaks its bound may go on, but no longer than by what it breaks it.
TEST_F(restarted_task, overlaps_only_by_excess_over_stop_bound) {
    constexpr milliseconds excess(1'000);
    constexpr milliseconds excess_on_slow_clock(1'021);
    settings.stop_excess = excess;
    EXPECT_LE(
        play(settings, seed, count / 4, "stop up to 1 s later than its bound").longest_overlap,
        excess_on_slow_clock);
}

}  // namespace
