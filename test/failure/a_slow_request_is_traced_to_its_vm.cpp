// Requests of one kind are quick but for one, which its VM takes long over. Asked to explain that
// one, the entry names the VM and its time, and not the link that the request crossed.
#include <cranberrydock/config/keys.hpp>

#include "standins/crew.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int quick_requests = 20;
constexpr int slow_ms = 1'500;

TEST(slow_request, is_traced_to_its_vm) {
    crew daemons;
    constexpr std::size_t caller_entry = 2;  // its requests cross a link to the owner
    config::openssl_random random;
    const auto key =
        config::make_key({config::key_role::submitter, base::team_id("survey")}, random);
    daemons.patch(0, json::parse(config::patch_adding(key.entry)));
    call_work what;
    what.bearer = key.bearer_token;
    ASSERT_TRUE(wait_until([&] { return daemons.submit(caller_entry, what).status == ok; }));
    for (int i = 0; i < quick_requests; ++i) {
        ASSERT_EQ(daemons.submit(caller_entry, what).status, ok);
    }
    what.for_ms = slow_ms;
    const call_result slow = daemons.submit(caller_entry, what);
    ASSERT_EQ(slow.status, ok) << slow.body;

    const auto answer =
        call(daemons.entry(caller_entry), {net::http_method::get,
                                           "/v1/explain/" + slow.body.at("job").get<std::string>(),
                                           "",
                                           {{"Authorization", "Bearer " + key.bearer_token}},
                                           ""});
    ASSERT_TRUE(answer.has_value());
    const json seen = json::parse(answer->body);
    ASSERT_TRUE(seen.contains("verdict")) << seen;
    const json& verdict = seen.at("verdict");
    EXPECT_EQ(verdict.at("blamed"), "vm") << verdict;
    EXPECT_EQ(verdict.at("where"), slow.body.at("answers").at(0).at("vm")) << verdict;
    EXPECT_GE(verdict.at("excess_us"), slow_ms * 1'000 / 2) << verdict;
}

}  // namespace
