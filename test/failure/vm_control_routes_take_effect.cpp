// Checks the control routes of the VMs' process. VMs that are killed, replaced, suspended, silenced
// or leaving behave accordingly on the network, and the member list shows the change only after its
// lag.
#include <cranberrydock/platform/http_platform.hpp>
#include <cranberrydock/platform/memory_platform.hpp>

#include "standins/cluster.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;
using standins::generous_timeout;

constexpr base::milliseconds short_wait{200};

class vm_control_routes : public ::testing::Test {
protected:
    void SetUp() override {
        cluster_.start_vms({});
        const auto first_vm = cluster_.list_vms().at("vms").at(0);
        name_ = first_vm.at("id");
        address_ = net::parse_endpoint(first_vm.at("address"));
    }

    vm_result hello(base::milliseconds timeout = generous_timeout) {
        const auto vms = make_http_vm_client(*client_);
        std::optional<vm_result> out;
        vms->send(address_, {base::cell_id("c"), base::epoch(1), hello_command{}}, timeout,
                  [&](vm_result result) {
                      out = std::move(result);
                      loop_.stop();
                  });
        loop_.run();
        return std::move(*out);
    }

    // The VM's state in the member list, or nullopt when it is not listed.
    std::optional<std::string> listed_state() const {
        const auto members = standins::get_json(cluster_.platform_address(), "/v1/members");
        for (const auto& it : members.at("members")) {
            if (it.at("id") == name_) {
                return it.at("state").get<std::string>();
            }
        }
        return std::nullopt;
    }

    standins::cluster cluster_;
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_ = net::make_http_client(loop_, {});
    std::string name_;
    net::endpoint address_;
};

TEST_F(vm_control_routes, kill_and_replace_take_effect) {
    const auto previous_incarnation = hello().value().report.incarnation;
    cluster_.command_vm(name_, "kill");
    hello();  // a pooled connection may break first
    EXPECT_EQ(hello().error(), vm_error::not_sent);
    EXPECT_TRUE(standins::wait_until([&] { return !listed_state(); }));
    cluster_.command_vm(name_, "replace");
    EXPECT_NE(hello().value().report.incarnation, previous_incarnation);
    EXPECT_TRUE(standins::wait_until([&] { return listed_state() == "live"; }));
}

TEST_F(vm_control_routes, leaving_vm_reports_it_before_member_list) {
    constexpr int lag_beyond_test_ms = 3'600'000;
    cluster_.command_vm(name_, "leave", {{"lag_ms", lag_beyond_test_ms}});
    EXPECT_TRUE(hello().value().report.leaving);
    EXPECT_EQ(listed_state(), "live");
    cluster_.command_vm(name_, "leave");
    EXPECT_TRUE(standins::wait_until([&] { return listed_state() == "leaving"; }));
}

TEST_F(vm_control_routes, suspended_or_silenced_vm_does_not_answer) {
    for (const char* const action : {"freeze", "silence", "lose_answers"}) {
        cluster_.command_vm(name_, action);
        EXPECT_EQ(hello(short_wait).error(), vm_error::answer_lost) << action;
        cluster_.command_vm(name_, "unfreeze");
        cluster_.command_vm(name_, "speak");
        EXPECT_TRUE(hello().has_value()) << action;
    }
}

TEST_F(vm_control_routes, rogue_task_is_reported_as_running) {
    cluster_.command_vm(name_, "start_rogue", {{"task", "stray"}});
    const auto running = hello().value().report.running;
    ASSERT_EQ(running.size(), 1U);
    EXPECT_EQ(running[0].task, base::task_id("stray"));
    EXPECT_EQ(cluster_.checker_report().at("total"), 0);
}

TEST(member_list, shows_change_after_its_lag) {
    base::manual_clock clock;
    memory_platform platform(clock);
    member listed_vm;
    listed_vm.id = base::vm_id("vm-1");
    platform.set_members({listed_vm}, base::milliseconds{0});
    EXPECT_EQ(platform.read_members()->size(), 1U);
    platform.remove_members({listed_vm.id}, base::milliseconds{500});
    clock.advance(base::milliseconds{499});
    EXPECT_EQ(platform.read_members()->size(), 1U);
    clock.advance(base::milliseconds{1});
    EXPECT_TRUE(platform.read_members()->empty());
}

}  // namespace
