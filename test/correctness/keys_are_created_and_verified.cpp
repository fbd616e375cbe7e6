// A created key verifies against the configuration that its patch produces. Every other token is
// refused with the correct reason.
#include <cranberrydock/config/keys.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using base::refusal_reason;

const std::string without_keys = R"({"teams":{"survey":{"home_region":"n","upper_limit":1}},
                                     "cells":{"n":{"region":"n","zone":"n-a"}}})";

config::configuration_ptr with_patch(const std::string& document, const std::string& patch) {
    const auto patched = config::apply_patch(document, patch);
    EXPECT_TRUE(patched.has_value());
    const auto parsed = config::parse_configuration(*patched, base::config_version(1));
    EXPECT_TRUE(parsed.has_value()) << parsed.error().text();
    return *parsed;
}

class keys : public ::testing::Test {
protected:
    config::openssl_random random_;
    config::generated_key submitter_ =
        config::generate_key({config::key_role::submitter, base::team_id("survey")}, random_);
    config::generated_key operator_ =
        config::generate_key({config::key_role::operations, {}}, random_);
};

TEST_F(keys, verify_as_their_team_or_role) {
    const auto first = with_patch(without_keys, config::patch_to_add_key(submitter_.entry));
    const auto found = config::verify(*first, submitter_.bearer_token);
    ASSERT_TRUE(found.has_value());
    EXPECT_EQ((*found)->team, base::team_id("survey"));
    const auto second = with_patch(without_keys, config::patch_to_add_key(operator_.entry));
    const auto operator_found = config::verify(*second, operator_.bearer_token);
    ASSERT_TRUE(operator_found.has_value());
    EXPECT_EQ((*operator_found)->role, config::key_role::operations);
    EXPECT_EQ(config::verify(*second, submitter_.bearer_token).error(),
              refusal_reason::key_unknown);
}

TEST_F(keys, are_not_stored_in_configuration) {
    const std::string secret = submitter_.bearer_token.substr(submitter_.entry.id.str().size() + 1);
    EXPECT_EQ(config::patch_to_add_key(submitter_.entry).find(secret), std::string::npos);
    EXPECT_NE(submitter_.bearer_token, operator_.bearer_token);
}

TEST_F(keys, invalid_token_is_refused_with_reason) {
    const auto current = with_patch(without_keys, config::patch_to_add_key(submitter_.entry));
    const std::string id = submitter_.entry.id.str();
    EXPECT_EQ(config::verify(*current, "").error(), refusal_reason::key_missing);
    for (const std::string& token :
         {std::string("nodot"), std::string("."), id + ".", id + ".wrong", "x" + id + ".wrong",
          submitter_.bearer_token + "0", std::string(100'000, '.')}) {
        EXPECT_EQ(config::verify(*current, token).error(), refusal_reason::key_unknown) << token;
    }
}

TEST_F(keys, withdrawal_is_disclosed_only_to_key_holder) {
    config::key withdrawn = submitter_.entry;
    withdrawn.withdrawn = true;
    const auto current = with_patch(without_keys, config::patch_to_add_key(withdrawn));
    EXPECT_EQ(config::verify(*current, submitter_.bearer_token).error(),
              refusal_reason::key_withdrawn);
    EXPECT_EQ(config::verify(*current, withdrawn.id.str() + ".wrong").error(),
              refusal_reason::key_unknown);
}

}  // namespace
