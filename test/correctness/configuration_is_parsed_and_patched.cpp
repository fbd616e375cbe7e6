// A configuration document is parsed into typed entries that are found by name, and is changed by
// merge patches.
#include <cranberrydock/config/configuration.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using config::apply_patch;
using config::difference;
using config::parse_configuration;

const std::string document = R"({
  "teams": {"survey": {"home_region": "northcoast", "share": 2.5, "upper_limit": 40},
            "kiteflow": {"home_region": "southvale", "upper_limit": 0}},
  "keys": {"k1": {"team": "survey", "salt": "0123456789abcdef0123456789abcdef",
                  "digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"},
           "ops": {"role": "operator", "salt": "0123456789abcdef0123456789abcdef", "withdrawn": true,
                   "digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}},
  "queues": {"previews": {"policy": "latency", "default_deadline_ms": 5000},
             "public": {"policy": "batch", "open": true, "open_team": "kiteflow",
                        "max_queued_per_team": 7, "max_attempts": 2}},
  "cells": {"nc-a": {"region": "northcoast", "zone": "a", "racks": ["r1", "r2"]},
            "nc-a2": {"region": "northcoast", "zone": "a", "racks": ["r3"]},
            "sv": {"region": "southvale", "zone": "c"}}})";

TEST(configuration, parses_all_entries) {
    const auto parsed = parse_configuration(document, base::config_version(3));
    ASSERT_TRUE(parsed.has_value()) << parsed.error().text();
    const config::configuration& all = **parsed;
    EXPECT_EQ(all.version, base::config_version(3));
    const auto* const team = all.find_team(base::team_id("survey"));
    ASSERT_NE(team, nullptr);
    EXPECT_EQ(team->home_region, base::region_name("northcoast"));
    EXPECT_DOUBLE_EQ(team->share, 2.5);
    EXPECT_EQ(team->upper_limit, base::slot_count(40));
    EXPECT_DOUBLE_EQ(all.find_team(base::team_id("kiteflow"))->share, 1.0);
    EXPECT_EQ(all.find_team(base::team_id("nobody")), nullptr);
    const auto* const ops = all.find_key(base::key_id("ops"));
    ASSERT_NE(ops, nullptr);
    EXPECT_EQ(ops->role, config::key_role::operations);
    EXPECT_TRUE(ops->withdrawn);
    EXPECT_EQ(all.find_key(base::key_id("k1"))->team, base::team_id("survey"));
    const auto* const previews = all.find_queue(base::queue_name("previews"));
    ASSERT_NE(previews, nullptr);
    EXPECT_EQ(previews->policy, config::queue_policy_kind::latency);
    EXPECT_EQ(previews->default_deadline, base::milliseconds(5000));
    const auto* const open = all.find_queue(base::queue_name("public"));
    EXPECT_TRUE(open->open);
    EXPECT_EQ(open->open_team, base::team_id("kiteflow"));
    EXPECT_EQ(open->max_queued_per_team, 7U);
    EXPECT_EQ(open->max_attempts, 2);
    EXPECT_EQ(all.find_cell(base::cell_id("nc-a"))->racks.size(), 2U);
}

TEST(configuration, may_be_empty) {
    const auto parsed = parse_configuration("{}", base::config_version(0));
    ASSERT_TRUE(parsed.has_value());
    EXPECT_TRUE((*parsed)->teams.empty());
}

TEST(merge_patch, changes_adds_and_removes_fields) {
    const auto after = apply_patch(R"({"teams":{"a":{"share":1,"upper_limit":2},"b":{}}})",
                                   R"({"teams":{"a":{"share":3},"b":null,"c":{"x":[1]}}})");
    ASSERT_TRUE(after.has_value());
    EXPECT_EQ(*after, R"({"teams":{"a":{"share":3,"upper_limit":2},"c":{"x":[1]}}})");
}

TEST(document_difference, contains_only_changes) {
    EXPECT_EQ(difference(R"({"a":{"x":1,"y":2},"b":{"z":1}})", R"({"a":{"x":1,"y":3},"c":{}})"),
              R"({"a":{"y":3},"b":null,"c":{}})");
    EXPECT_EQ(difference(document, document), "{}");
}

}  // namespace
