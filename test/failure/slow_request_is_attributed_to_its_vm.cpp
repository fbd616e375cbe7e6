// All requests of one kind are fast except for one that its VM takes long to run. Asked to explain
// that request, the entry names the VM and its excess time, not the link that the request crossed.
#include <cranberrydock/config/keys.hpp>

#include "standins/cell_cluster.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

constexpr int ok = 200;
constexpr int quick_requests = 20;
constexpr int slow_ms = 1'500;

TEST(slow_request, is_attributed_to_its_vm) {
    cell_cluster daemons;
    constexpr std::size_t caller_entry = 2;  // its requests cross a link to the owner
    config::openssl_random random;
    const auto key =
        config::generate_key({config::key_role::submitter, base::team_id("survey")}, random);
    daemons.patch_configuration(0, json::parse(config::patch_to_add_key(key.entry)));
    work_request work;
    work.bearer_token = key.bearer_token;
    ASSERT_TRUE(wait_until([&] { return daemons.submit(caller_entry, work).status == ok; }));
    for (int i = 0; i < quick_requests; ++i) {
        ASSERT_EQ(daemons.submit(caller_entry, work).status, ok);
    }
    work.task_time_ms = slow_ms;
    const work_response slow = daemons.submit(caller_entry, work);
    ASSERT_EQ(slow.status, ok) << slow.body;

    const auto response =
        call(daemons.entry(caller_entry), {net::http_method::get,
                                           "/v1/explain/" + slow.body.at("job").get<std::string>(),
                                           "",
                                           {{"Authorization", "Bearer " + key.bearer_token}},
                                           ""});
    ASSERT_TRUE(response.has_value());
    const json explanation = json::parse(response->body);
    ASSERT_TRUE(explanation.contains("verdict")) << explanation;
    const json& verdict = explanation.at("verdict");
    EXPECT_EQ(verdict.at("blamed"), "vm") << verdict;
    EXPECT_EQ(verdict.at("where"), slow.body.at("answers").at(0).at("vm")) << verdict;
    EXPECT_GE(verdict.at("excess_us"), slow_ms * 1'000 / 2) << verdict;
}

}  // namespace
