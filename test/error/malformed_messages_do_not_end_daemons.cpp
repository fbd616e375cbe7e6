// Guards against one malformed message that ends a daemon, whose retries then end the others: a
// request that is not UTF-8, and answers of a VM whose fields have unexpected types.
#include <cranberrydock/net/http_server.hpp>
#include <cranberrydock/net/listener_probe.hpp>
#include <cranberrydock/shared_platform/http_vm_control.hpp>

#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"
#include "standins/raw_http.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

using start_result = tl::expected<fleet::vm_time, fleet::command_failure>;
using watch_result = tl::expected<fleet::vm_report, fleet::command_failure>;

constexpr int ok = 200;
constexpr base::milliseconds wait_timeout{30'000};
const std::string cut_character = "\xe6\x9c";  // the first two bytes of three

std::string raw_request(const std::string& method, const std::string& path, const std::string& host,
                        const std::string& body) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nAuthorization: Bearer k\r\nX-Deadline-Ms: 3000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(malformed_request, is_refused_and_daemon_continues) {
    fleet_cluster daemons(1, {});
    ASSERT_TRUE(daemons.wait_until_ready(0, wait_timeout));
    const std::string path = "/urgent/" + job_id_text(1);
    const std::vector<std::string> requests{
        raw_request("POST", path, "h", R"({"spec":")" + cut_character),
        raw_request("POST", path, "h", R"({"spec":")" + cut_character + R"(","phases":[]})"),
        raw_request("POST", path, "h", cut_character),
        raw_request("GET", path, "h\xff", ""),
        raw_request("GET", "/nowhere/\xff", "h", ""),
        raw_request("GET", "/urgent/\xff", "h", ""),
        raw_request("DELETE", "/urgent/\xff", "h", ""),
    };
    for (const auto& it : requests) {
        raw_connection caller(daemons.caller_address(0));
        caller.send_text(it);
        const std::string head = caller.read_message_head();
        EXPECT_EQ(head.rfind("HTTP/1.1 4", 0), 0U) << it << head;
        ASSERT_FALSE(daemons.exit_status_if_ended(0).has_value()) << it;
    }
    EXPECT_EQ(daemons.submit(0, job_id_text(2), 1).status, ok);
}

// A VM that sends the same answer to every command.
class odd_vm final : public net::http_handler {
public:
    void handle(net::http_request /*request*/, net::http_responder respond) override {
        respond(net::json_response(status, body));
    }

    int status = ok;
    std::string body;
};

class odd_answer : public testing::Test {
public:
    odd_answer() { facts.address = server.listen_endpoint().text(); }

    template <typename Result>
    std::function<void(Result)> record(std::optional<Result>& out) {
        return [this, &out](Result result) {
            out = std::move(result);
            loop.stop();
        };
    }

    start_result start() {
        std::optional<start_result> out;
        fleet::start_command command;
        command.task.job = fleet::job_id(job_id_text(1));
        vms->start(facts, fleet::fencing_token(1), command, record<start_result>(out));
        loop.run();
        return *out;
    }

    watch_result watch() {
        std::optional<watch_result> out;
        vms->watch(facts, fleet::fencing_token(1), {}, record<watch_result>(out));
        loop.run();
        return *out;
    }

    net::event_loop loop;
    odd_vm vm;
    net::http_server server{loop, net::endpoint{"127.0.0.1", 0}, net::http_server_limits{}, vm};
    std::unique_ptr<net::http_client> http = net::make_http_client(loop, {});
    std::unique_ptr<net::listener_probe> probe = net::make_listener_probe(loop);
    std::unique_ptr<fleet::vm_control> vms = shared_platform::make_vm_control(*http, *probe);
    fleet::vm_info facts;
};

TEST_F(odd_answer, to_start_is_read_by_its_status) {
    for (const char* const body :
         {R"({"clockMs":"soon"})", R"({"clockMs":1e300})", R"({"clockMs":{}})", "[]", "\xff", ""}) {
        vm.body = body;
        EXPECT_TRUE(start().has_value()) << body;
    }
    vm.status = 409;
    for (const char* const body :
         {R"({"reason":7})", R"({"reason":null})", R"({"reason":"\xff"})", "[]", "\xff", ""}) {
        vm.body = body;
        const auto answer = start();
        ASSERT_FALSE(answer.has_value()) << body;
        EXPECT_EQ(answer.error(), fleet::command_failure::malformed) << body;
    }
}

TEST_F(odd_answer, to_watch_is_no_report) {
    for (const char* const body :
         {R"({"clockMs":"soon","running":[],"finished":[]})",
          R"({"clockMs":1e300,"running":[],"finished":[]})",
          R"({"clockMs":1,"born":"now","running":[],"finished":[]})",
          R"({"clockMs":1,"running":[["a",1,"",0]],"finished":[]})",
          R"({"clockMs":1,"running":[7],"finished":[]})",
          R"({"clockMs":1,"running":[],"finished":[[1,"a.0.0.0",1,7,""]]})", "[]", "\xff", ""}) {
        vm.body = body;
        const auto answer = watch();
        ASSERT_FALSE(answer.has_value()) << body;
        EXPECT_EQ(answer.error(), fleet::command_failure::malformed) << body;
    }
}

}  // namespace
