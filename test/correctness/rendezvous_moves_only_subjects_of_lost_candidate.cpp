// When a candidate is lost, only the subjects that were assigned to it move to other candidates.
#include <cranberrydock/base/rendezvous.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

using cranberrydock::base::rendezvous_order;

TEST(rendezvous, moves_only_subjects_of_lost_candidate) {
    const std::vector<std::string> all = {"d1", "d2", "d3", "d4", "d5", "d6", "d7"};
    const std::vector<std::string> without_last(all.begin(), all.end() - 1);
    constexpr int subjects = 1000;
    int moved = 0;
    for (int i = 0; i < subjects; ++i) {
        const std::string subject = "cell-" + std::to_string(i);
        const std::string before = all[rendezvous_order(subject, all)[0]];
        const std::string after = without_last[rendezvous_order(subject, without_last)[0]];
        if (before == "d7") {
            ++moved;
            EXPECT_NE(after, "d7");
        } else {
            EXPECT_EQ(after, before);
        }
    }
    EXPECT_GT(moved, 0);
}
