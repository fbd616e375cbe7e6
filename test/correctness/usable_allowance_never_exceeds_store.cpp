// A reduction counts as soon as it is sent and, after a lost answer, until it can no longer be
// applied late. An increase counts only when it is confirmed or read back.
#include <cranberrydock/cell/allowance_manager.hpp>

#include "standins/table_model.hpp"

#include <gtest/gtest.h>

using namespace cranberrydock;
using base::slot_count;

namespace {

const base::team_id team("t");
const base::cell_id cell_a("a");

// Tests one allowance_manager. The test answers its store operations.
class allowance : public ::testing::Test {
protected:
    allowance() : keeper_(settings()) {
        run(cell::limits_changed{{{team, slot_count(10), slot_count(0)}}}, 0);
    }

    static cell::allowance_settings settings() {
        cell::allowance_settings result;
        result.cell = cell_a;
        result.guard = {platform::row_key("cell/a"), platform::row_version(0)};
        return result;
    }

    static base::time_point at(int milliseconds) {
        return base::time_point(base::milliseconds(milliseconds));
    }

    void demand(int running, int queued, int now_ms) {
        run({cell::demand_changed{
                {{team, slot_count(running), slot_count(0), slot_count(queued)}}}},
            now_ms);
    }

    // Handles the event, answers scans at once and stores the last commit.
    void run(const cell::allowance_event& event, int now_ms) {
        for (const auto& it : keeper_.handle(event, at(now_ms))) {
            if (const auto* scan = std::get_if<cell::scan_allowances>(&it)) {
                run(cell::allowances_scanned{scan->operation, table_.scan("allowance/")}, now_ms);
            } else if (const auto* commit = std::get_if<cell::commit>(&it)) {
                commit_ = *commit;
            }
        }
    }

    void confirm(int now_ms) {
        run(cell::commit_finished{commit_.operation, table_.commit(commit_.transaction)}, now_ms);
    }

    void lose_answer(int now_ms) {
        run(cell::commit_finished{commit_.operation,
                                  tl::make_unexpected(platform::store_error::answer_lost)},
            now_ms);
    }

    // Acquires 8 slots and then drops the demand. Returns when the reduction has just been sent.
    void reduce() {
        demand(0, 8, 0);
        confirm(100);
        ASSERT_EQ(keeper_.startable_slots(team), slot_count(8));
        demand(0, 0, 200);
        run(cell::tick{}, 20'000);
        run(cell::tick{}, 30'000);
    }

    standins::table_model table_;
    cell::allowance_manager keeper_;
    cell::commit commit_;
};

}  // namespace

TEST_F(allowance, raise_counts_when_confirmed) {
    demand(0, 5, 0);
    EXPECT_EQ(keeper_.startable_slots(team), slot_count(0));
    confirm(100);
    EXPECT_EQ(keeper_.startable_slots(team), slot_count(5));
}

TEST_F(allowance, reduction_counts_when_sent) {
    reduce();
    demand(0, 8, 30'100);
    EXPECT_EQ(keeper_.startable_slots(team), slot_count(0));
}

TEST_F(allowance, unconfirmed_reduction_counts_until_superseded) {
    reduce();
    const auto late_reduction = commit_;
    demand(0, 8, 30'100);
    lose_answer(30'200);
    // The row was read back with the old part and is being rewritten. Until that write is
    // confirmed, the late reduction may still be applied.
    EXPECT_EQ(keeper_.startable_slots(team), slot_count(0));
    confirm(30'300);
    EXPECT_EQ(keeper_.startable_slots(team), slot_count(8));
    EXPECT_FALSE(table_.commit(late_reduction.transaction));
}

TEST(allowance_row, idle_reserve_is_held_until_another_cell_needs_slots) {
    const cell::allowance_demand idle{cell_a, slot_count(0), slot_count(0), slot_count(5)};
    cell::allowance_row row;
    row.team = team;
    const auto reserved = cell::next_row(row, slot_count(10), idle);
    ASSERT_TRUE(reserved);
    EXPECT_EQ(cell::part_of(*reserved, cell_a).slots, slot_count(5));
    EXPECT_FALSE(cell::next_row(*reserved, slot_count(10), idle));
    row = *reserved;
    row.parts.push_back({base::cell_id("b"), slot_count(5), slot_count(3)});
    const auto released = cell::next_row(row, slot_count(10), idle);
    ASSERT_TRUE(released);
    EXPECT_EQ(cell::part_of(*released, cell_a).slots, slot_count(0));
}
