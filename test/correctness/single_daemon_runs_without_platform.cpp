// `cranberrydock --platform=memory` needs no other service than worker VMs: the daemon accepts a
// configuration, owns its cell and answers a request.
#include "standins/cluster.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock::standins;
using cranberrydock::net::http_method;
using nlohmann::json;

constexpr int ok = 200;

std::string addresses_of(const json& vms) {
    std::string out;
    for (const auto& it : vms.at("vms")) {
        out += (out.empty() ? "" : ",") + it.at("address").get<std::string>();
    }
    return out;
}

TEST(single_daemon, runs_without_platform) {
    process vms({"standin_vm", {"--count=2"}, ""});
    const auto control = vms.wait_until_listening(generous_timeout);
    process daemon({"cranberrydock",
                    {"--platform=memory", "--listen=127.0.0.1:0",
                     "--workers=" + addresses_of(get_json(control, "/control/vms"))},
                    ""});
    const auto entry = daemon.wait_until_listening(generous_timeout);
    const json configuration = {
        {"teams", {{"me", {{"home_region", "local"}, {"share", 1}, {"upper_limit", 8}}}}},
        {"queues", {{"all", {{"policy", "batch"}, {"open", true}, {"open_team", "me"}}}}},
        {"cells", {{"local", {{"region", "local"}, {"zone", "local"}}}}}};
    ASSERT_TRUE(wait_until([&] {
        const auto patched =
            call(entry, {http_method::patch, "/v1/config", "base=0", {}, configuration.dump()});
        return patched && patched->status == ok;
    }));
    const json body = {{"queue", "all"}, {"payload", "hello"}};
    const auto answer = call(entry, {http_method::post, "/v1/requests", "", {}, body.dump()});
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer->status, ok) << answer->body;
    EXPECT_EQ(json::parse(answer->body).at("answers").at(0).at("content"), "hello");
}

}  // namespace
