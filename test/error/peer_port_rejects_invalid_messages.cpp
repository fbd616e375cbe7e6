// Messages of another writer or version to the peer port of a daemon. A message that cannot be
// decoded is answered with 400, and the daemon keeps running.
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using nlohmann::json;

std::string bytes_of(const json& value) {
    const auto buf = json::to_cbor(value);
    return {buf.begin(), buf.end()};
}

json batch_of(const json& command) {
    return {{"sender", "s"}, {"relay_run", "r"}, {"not_after", 1}, {"orders", {command}}};
}

TEST(peer_port, invalid_messages_are_refused_without_crash) {
    fleet_cluster daemons(1, {});
    ASSERT_TRUE(daemons.wait_until_ready(0));
    constexpr int unknown_kind = 99;
    const std::vector<std::string> bodies{
        "x",
        "\xff\xff\xff",
        bytes_of(json::array()),
        bytes_of({{"sender", 1}}),
        bytes_of(batch_of("order")),
        bytes_of(batch_of({1, "i-0", "127.0.0.1:1", 1, {unknown_kind}})),
        bytes_of(batch_of({1, "i-0", "127.0.0.1:1", 1, {0, "task"}})),
        bytes_of(batch_of({"one", "i-0", "127.0.0.1:1", 1, json::array()})),
    };
    constexpr int bad_request = 400;
    for (const char* const path : {"/peer/orders", "/peer/configuration", "/peer/read"}) {
        for (const auto& it : bodies) {
            EXPECT_EQ(daemons.peer_call(0, path, it).status, bad_request) << path;
        }
    }
    EXPECT_FALSE(daemons.exit_status_if_ended(0).has_value());
    constexpr int ok = 200;
    EXPECT_EQ(daemons.submit(0, job_id_text(1), 1).status, ok);
}

}  // namespace
