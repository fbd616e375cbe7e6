// For any sequence of heartbeat states on a connection, the receiver restores each state
// completely. A delta of an unchanged state takes few bytes, and damaged deltas never crash the
// receiver.
#include <cranberrydock/mesh/state_delta.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <standins/message_text.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using mesh::heartbeat;
using mesh::detail::state_delta_decoder;
using mesh::detail::state_delta_encoder;

base::slot_count any_slots() {
    return base::slot_count(*rc::gen::inRange(0, 4));
}

heartbeat any_state() {
    heartbeat out;
    out.version = base::config_version(*rc::gen::inRange(0, 5));
    out.store_reachable = *rc::gen::arbitrary<bool>();
    out.ready = *rc::gen::arbitrary<bool>();
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
        out.owned.push_back({base::cell_id("cell-" + std::to_string(*rc::gen::inRange(0, 4))),
                             base::epoch(*rc::gen::inRange(0, 4))});
    }
    for (int i = 0; i < 12; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
            out.usage.push_back(
                {base::team_id("team-" + std::to_string(i)), any_slots(), any_slots()});
        }
    }
    return out;
}

std::string text_of(heartbeat state) {
    std::sort(state.usage.begin(), state.usage.end(),
              [](const auto& a, const auto& b) { return a.team < b.team; });
    return standins::to_text(mesh::message(std::move(state)));
}

TEST(state_delta, round_trips_sequence_of_states) {
    EXPECT_TRUE(rc::check([] {
        state_delta_encoder sender;
        state_delta_decoder receiver;
        std::vector<mesh::team_usage> reported_usage;
        for (int i = *rc::gen::inRange(1, 12); i > 0; --i) {
            heartbeat state = any_state();
            const bool with_usage = *rc::gen::arbitrary<bool>();
            const auto decoded = receiver.decode(sender.encode(state, with_usage));
            RC_ASSERT(decoded.has_value());
            if (with_usage) {
                reported_usage = state.usage;
            }
            state.usage = reported_usage;
            RC_ASSERT(text_of(*decoded) == text_of(state));
        }
    }));
}

TEST(state_delta, damaged_bytes_are_decoded_or_rejected) {
    EXPECT_TRUE(rc::check([] {
        state_delta_encoder sender;
        state_delta_decoder receiver;
        for (int i = *rc::gen::inRange(1, 12); i > 0; --i) {
            std::string bytes = sender.encode(any_state());
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            const auto decoded = receiver.decode(bytes);
            RC_ASSERT(decoded.has_value() || !decoded.error().empty());
        }
    }));
}

TEST(state_delta, delta_of_unchanged_state_is_small) {
    heartbeat state;
    constexpr int teams = 260;
    constexpr std::size_t max_delta_bytes = 32;
    for (int i = 0; i < teams; ++i) {
        state.usage.push_back(
            {base::team_id("team-" + std::to_string(i)), base::slot_count(i), base::slot_count(0)});
    }
    state_delta_encoder sender;
    EXPECT_GT(sender.encode(state).size(), static_cast<std::size_t>(teams));
    EXPECT_LT(sender.encode(state).size(), max_delta_bytes);
    state.usage[3].running = base::slot_count(999);
    EXPECT_LT(sender.encode(state).size(), max_delta_bytes);
}

}  // namespace
