// For any two documents, applying their difference to the first gives the second. No text makes the
// configuration parser throw an exception.
#include <cranberrydock/config/configuration.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

namespace {

using namespace cranberrydock;
using nlohmann::json;

constexpr int max_depth = 4;

// A small set of names, so that two documents have many fields in common.
rc::Gen<std::string> field_name() {
    return rc::gen::element<std::string>("teams", "keys", "queues", "cells", "a", "b", "policy",
                                         "share", "upper_limit", "home_region", "racks", "a/~b",
                                         "");
}

json any_value(int depth, bool with_null) {
    const int kind = *rc::gen::inRange(with_null ? 0 : 1, depth > 0 ? 8 : 5);
    switch (kind) {
        case 0:
            return nullptr;
        case 1:
            return *rc::gen::arbitrary<bool>();
        case 2:
            return *rc::gen::inRange(-3, 4);
        case 3:
            return *rc::gen::inRange(-3, 4) / 2.0;
        case 4:
            return *field_name();
        case 5: {
            json out = json::array();
            for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
                out.push_back(any_value(depth - 1, with_null));
            }
            return out;
        }
        default: {
            json out = json::object();
            for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
                out[*field_name()] = any_value(depth - 1, with_null);
            }
            return out;
        }
    }
}

json any_object(bool with_null) {
    json out = json::object();
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        out[*field_name()] = any_value(max_depth, with_null);
    }
    return out;
}

TEST(configuration_patches, round_trip) {
    EXPECT_TRUE(rc::check("apply_patch(a, difference(a, b)) is b", [] {
        const std::string a = any_object(false).dump();
        const std::string b = any_object(false).dump();
        const auto patched_document = config::apply_patch(a, config::difference(a, b));
        RC_ASSERT(patched_document.has_value());
        RC_ASSERT(json::parse(*patched_document) == json::parse(b));
        RC_ASSERT(config::difference(*patched_document, b) == "{}");
    }));
}

TEST(configuration_patches, arbitrary_patches_never_throw) {
    EXPECT_TRUE(
        rc::check("documents and patches of any shape are accepted or rejected with an error", [] {
            const auto patched =
                config::apply_patch(any_object(true).dump(), any_value(max_depth, true).dump());
            RC_ASSERT(patched.has_value() || !patched.error().empty());
            if (patched) {
                const auto parsed = config::parse_configuration(*patched, base::config_version(1));
                RC_ASSERT(parsed.has_value() || !parsed.error().empty());
            }
        }));
}

TEST(configuration_parser, arbitrary_text_never_throws) {
    EXPECT_TRUE(
        rc::check("any bytes are accepted or rejected with an error", [](const std::string& text) {
            const auto parsed = config::parse_configuration(text, base::config_version(1));
            RC_ASSERT(parsed.has_value() || !parsed.error().empty());
        }));
    EXPECT_TRUE(rc::check("any text of JSON characters is accepted or rejected with an error", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("{}[]\",:\\u0e-+.1 tnrfalsu")));
        const auto parsed = config::parse_configuration(text, base::config_version(1));
        RC_ASSERT(parsed.has_value() || !parsed.error().empty());
    }));
}

}  // namespace
