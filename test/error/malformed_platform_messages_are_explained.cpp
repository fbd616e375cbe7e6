// Malformed, truncated, negative and oversized messages to a VM and to the platform. The status and
// the message state the error, nothing takes effect, and the server keeps serving.
#include <cranberrydock/platform/store_codec.hpp>
#include <cranberrydock/platform/vm_codec.hpp>

#include "standins/cluster.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;

start_command a_start() {
    start_command out;
    out.attempt = base::attempt_id("a");
    out.reserve.memory = base::mebibytes(1);
    out.payload = "x";
    return out;
}

std::string command_of(start_command body) {
    return encode(vm_command{base::cell_id("c"), base::epoch(1), std::move(body)});
}

void expect_findings(const std::string& bytes, const std::string& message_part) {
    const auto read = decode_vm_command(bytes);
    ASSERT_FALSE(read.has_value()) << message_part;
    EXPECT_NE(read.error().text().find(message_part), std::string::npos) << read.error().text();
}

TEST(vm_command, truncation_at_any_byte_is_refused) {
    const std::string complete_command = command_of(a_start());
    ASSERT_TRUE(decode_vm_command(complete_command).has_value());
    for (std::size_t n = 0; n < complete_command.size(); ++n) {
        EXPECT_FALSE(decode_vm_command(complete_command.substr(0, n)).has_value()) << n;
    }
    EXPECT_FALSE(decode_vm_command(complete_command + "x").has_value());
}

TEST(vm_command, errors_name_every_field) {
    auto start = a_start();
    start.reserve.memory = base::mebibytes(-1);
    start.lease_until = vm_time(-5);
    const std::string two_errors = command_of(start);
    expect_findings(two_errors, "/body/reserve/mebibytes: expected an amount from 0");
    expect_findings(two_errors, "/body/lease_until: expected an amount from 0");
    const auto cbor = [](const nlohmann::json& in) {
        std::string out;
        nlohmann::json::to_cbor(in, out);
        return out;
    };
    expect_findings(cbor(nlohmann::json::array()), "expected an object, found array");
    expect_findings(cbor({{"cell", "c"}, {"epoch", "1"}, {"body", {{"type", "hello"}}}}),
                    "/epoch: expected a whole number, found \"1\"");
    expect_findings(cbor({{"cell", "c"}, {"epoch", ~0ULL}, {"body", {{"type", "hello"}}}}),
                    "/epoch: expected a whole number");
    expect_findings(cbor({{"cell", "c"}, {"epoch", 1}, {"body", {{"type", "leap"}}}}),
                    "expected one of hello start watch");
}

class stand_ins : public ::testing::Test {
protected:
    void SetUp() override {
        cluster_.start_vms({});
        vm_ = net::parse_endpoint(cluster_.list_vms().at("vms").at(0).at("address"));
    }

    static void expect_refused(const net::endpoint& to, net::http_request request, int status,
                               const std::string& message_part) {
        const auto got = standins::call(to, std::move(request));
        ASSERT_TRUE(got.has_value()) << message_part;
        EXPECT_EQ(got->status, status) << got->body;
        EXPECT_NE(got->body.find(message_part), std::string::npos) << got->body;
    }

    static net::http_request post(const std::string& path, std::string body) {
        return {net::http_method::post, path, "", {}, std::move(body)};
    }

    standins::cluster cluster_;
    net::endpoint vm_;
};

TEST_F(stand_ins, explain_errors_and_keep_serving) {
    auto start = a_start();
    start.reserve.slots = base::slot_count(-3);
    expect_refused(vm_, post(vm_command_path, "\xff garbage"), 400, "expected a CBOR document");
    expect_refused(vm_, post(vm_command_path, command_of(start)), 400, "/body/reserve/slots");
    expect_refused(vm_, post("/elsewhere", ""), 404, "no such route");
    const auto& platform = cluster_.platform_address();
    expect_refused(platform, post(table_commit_path, "{}"), 400, "expected a CBOR document");
    expect_refused(platform, post("/control/faults", "{\"down\":"), 400, "expected a JSON object");
    expect_refused(platform, post("/control/faults", R"({"down":"yes"})"), 400, "boolean");
    expect_refused(
        platform,
        post("/control/members", R"({"members":[{"id":"x","role":"king","address":"here"}]})"), 400,
        "/members/0/role: expected one of entry worker runner, found \\\"king\\\"");
    expect_refused(platform, {net::http_method::get, objects_path, "", {}, ""}, 400,
                   "expected an object's name");
    expect_refused(cluster_.vm_control_address(),
                   post("/control/vm", R"({"vm":"none","action":"kill"})"), 400,
                   "expected the id of a VM");
    EXPECT_EQ(cluster_.checker_report().at("starts"), 0);
    EXPECT_EQ(cluster_.platform_counters().at("commits"), 0);
}

TEST_F(stand_ins, refuse_oversized_bodies) {
    const std::string body(9 * 1024 * 1024, ' ');
    const auto got = standins::call(cluster_.vm_control_address(), post("/control/vm", body));
    ASSERT_TRUE(got.has_value()) << got.error().detail;
    EXPECT_EQ(got->status, 413);
    EXPECT_EQ(cluster_.checker_report().at("total"), 0);
}

}  // namespace
