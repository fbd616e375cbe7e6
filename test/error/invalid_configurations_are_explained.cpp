// Every error in a configuration document is reported with its JSON pointer, and all errors are
// reported at once.
#include <cranberrydock/config/configuration.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cranberrydock;

std::string findings_of(const std::string& document) {
    const auto parsed = config::parse_configuration(document, base::config_version(1));
    return parsed ? "accepted" : parsed.error().text();
}

struct bad_document {
    const char* document;
    const char* message;  // the complete text of the findings
};

const bad_document cases[] = {
    {R"({"team":{}})",
     "/team: expected one of the fields teams, keys, queues, cells, found an unknown field; did "
     "you mean \"teams\"?\n"},
    {R"([])", "/: expected an object, found an array\n"},
    {R"({"teams":[]})", "/teams: expected an object, found an array\n"},
    {R"({"teams":{"a":7}})", "/teams/a: expected an object, found 7\n"},
    {R"({"teams":{"a/~b":null}})",
     "/teams/a~1~0b: expected a name of 1 to 64 letters, digits, '-', '_' or '.', found "
     "\"a/~b\"\n/teams/a~1~0b: expected an object, found null\n"},
    {R"({"teams":{"a":{"home_region":"n","upper_limit":-1}},"cells":{"c":{"region":"n","zone":"z"}}})",
     "/teams/a/upper_limit: expected a whole number from 0 to 1000000000, found -1\n"},
    {R"({"teams":{"a":{"home_region":"n","upper_limit":18446744073709551615}},"cells":{"c":{"region":"n","zone":"z"}}})",
     "/teams/a/upper_limit: expected a whole number from 0 to 1000000000, found "
     "18446744073709551615\n"},
    {R"({"teams":{"a":{"home_region":"n","upper_limit":1.5,"share":0}},"cells":{"c":{"region":"n","zone":"z"}}})",
     "/teams/a/share: expected a number above 0 and at most 1000000.0, found 0\n"
     "/teams/a/upper_limit: expected a whole number from 0 to 1000000000, found 1.5\n"},
    {R"({"teams":{"a":{"home_region":"northcaost","upper_limit":1}},"cells":{"c":{"region":"northcoast","zone":"z"}}})",
     "/teams/a/home_region: expected a region that has a cell, found \"northcaost\"; did you mean "
     "\"northcoast\"?\n"},
    {R"({"teams":{"a":{}}})",
     "/teams/a/home_region: expected the region whose cells hold the team's queues, found nothing; "
     "add the field\n"
     "/teams/a/upper_limit: expected the team's highest number of slots in use, fleet-wide, found "
     "nothing; add the field\n"},
    {R"({"keys":{"k":{"team":"a","role":"operater","salt":"secret!","digest":"00"}}})",
     "/keys/k: expected either team or role, found both; name the team that the key submits for, "
     "or role \"operator\"\n"
     "/keys/k/role: expected operator, found \"operater\"; did you mean \"operator\"?\n"
     "/keys/k/salt: expected 32 lower-case hexadecimal digits, found a string of 7 characters; "
     "make the key with `cranberryctl key create`\n"
     "/keys/k/digest: expected 64 lower-case hexadecimal digits, found a string of 2 characters; "
     "make the key with `cranberryctl key create`\n"
     "/keys/k/team: expected a team of this configuration, found \"a\"; add the team, or name "
     "another\n"},
    {R"({"queues":{"q":{"policy":"gangs","open":true,"max_atempts":1}}})",
     "/queues/q/policy: expected one of latency, must_finish, batch, gang, service, found "
     "\"gangs\"; did you mean \"gang\"?\n"
     "/queues/q/open_team: expected the team that work without a key is counted for, found "
     "nothing; add the field\n"
     "/queues/q/max_atempts: expected one of the fields policy, open, open_team, "
     "max_queued_per_team, max_attempts, default_deadline_ms, found an unknown field; did you mean "
     "\"max_attempts\"?\n"},
    {R"({"cells":{"a":{"region":"n","zone":"z"},"b":{"region":"m","zone":"z","racks":["r","r",3]}}})",
     "/cells/b/racks/2: expected a name of 1 to 64 letters, digits, '-', '_' or '.', found 3\n"
     "/cells/b/racks/1: expected each rack once, found \"r\" again; take it out\n"
     "/cells/b/region: expected \"n\", as cell \"a\" of the same availability zone, found \"m\"; "
     "an "
     "availability zone lies in one region\n"
     "/cells/b/zone: expected an availability zone that no other cell takes whole, found \"z\", "
     "which cell \"a\" names too; give each cell of this availability zone its own racks\n"},
    {R"({"cells":{"a":{"region":"n","zone":"z","racks":["r"]},"b":{"region":"n","zone":"z","racks":["r"]}}})",
     "/cells/b/racks/0: expected a rack of no other cell, found \"r\", which cell \"a\" names too; "
     "take it out of one of the two\n"},
    {R"({"teams":{},"teams":{}})",
     "document: expected each field once in its object, found \"teams\" twice in one object; take "
     "one of the two out\n"},
};

TEST(invalid_configurations, are_explained) {
    for (const auto& it : cases) {
        EXPECT_EQ(findings_of(it.document), it.message);
    }
}

TEST(invalid_configurations, json_errors_have_line_and_column) {
    const std::string text = findings_of("{\n  \"teams\": {,}\n}");
    EXPECT_EQ(text.rfind("document:2:13: expected JSON (RFC 8259), found ", 0), 0U) << text;
    EXPECT_EQ(findings_of("").rfind("document:1:1: expected JSON", 0), 0U) << findings_of("");
    EXPECT_EQ(findings_of("{\"a\":1e999}").rfind("document: expected numbers within", 0), 0U)
        << findings_of("{\"a\":1e999}");
    EXPECT_EQ(findings_of("{\"\xff\":1}").rfind("document:1:3: expected JSON", 0), 0U);
}

TEST(invalid_configurations, size_and_depth_are_limited) {
    EXPECT_EQ(
        findings_of(std::string(5'000'000, ' ')).rfind("document: expected at most 4194304", 0),
        0U);
    constexpr std::size_t deep = 1'000'000;
    EXPECT_EQ(findings_of(std::string(deep, '[') + std::string(deep, ']')),
              "document: expected at most 16 levels, found a deeper one; take the nesting out\n");
}

TEST(invalid_patches, are_explained) {
    const auto array_patch = config::apply_patch("{}", "[1]");
    ASSERT_FALSE(array_patch.has_value());
    EXPECT_EQ(array_patch.error().text(),
              "patch: expected an object (RFC 7396 merge patch), found an array; name the fields "
              "to change; null takes a field out\n");
    const auto malformed = config::apply_patch("{}", "{");
    ASSERT_FALSE(malformed.has_value());
    EXPECT_EQ(malformed.error().text().rfind("patch:1:2: expected JSON", 0), 0U);
}

}  // namespace
