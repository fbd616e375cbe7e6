// The stand-in processes start, and the VMs appear in the member list of the platform. A task that
// is started over HTTP runs once and is reported until it is acknowledged. A command of a lower
// epoch is refused.
#include <cranberrydock/base/digest.hpp>
#include <cranberrydock/platform/http_platform.hpp>

#include "standins/cluster.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;

class standin_processes : public ::testing::Test {
protected:
    void SetUp() override {
        cluster_.start_vms({});
        members_ = make_http_member_list(*client_, cluster_.platform_address(),
                                         standins::generous_timeout);
    }

    std::vector<member> list() {
        std::vector<member> out;
        members_->read([&](auto result) {
            out = std::move(result.value());
            loop_.stop();
        });
        loop_.run();
        return out;
    }

    vm_reply send(const net::endpoint& vm, std::int64_t epoch, vm_command_body body) {
        std::optional<vm_result> out;
        vms_->send(vm, {base::cell_id("cell"), base::epoch(epoch), std::move(body)},
                   standins::generous_timeout, [&](vm_result result) {
                       out = std::move(result);
                       loop_.stop();
                   });
        loop_.run();
        return out->value();
    }

    standins::cluster cluster_;
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_ = net::make_http_client(loop_, {});
    std::unique_ptr<member_list> members_;
    std::unique_ptr<vm_client> vms_ = make_http_vm_client(*client_);
};

TEST_F(standin_processes, run_task_until_acknowledged) {
    const auto members = list();
    ASSERT_EQ(members.size(), 2U);
    const auto vm = members[0].address;
    const vm_report first = send(vm, 2, hello_command{}).report;
    EXPECT_EQ(first.epoch, base::epoch(2));

    constexpr std::int64_t long_lease = 60'000'000;
    start_command start;
    start.incarnation = first.incarnation;
    start.attempt = base::attempt_id("a1");
    start.task = base::task_id("t1");
    start.reserve = {base::millicores(1'000), base::mebibytes(100), {}, base::slot_count(1)};
    start.lease_until = vm_time(first.now.value() + long_lease);
    start.payload = std::string("\0\xff bytes", 8);
    const auto started = send(vm, 2, start);
    EXPECT_EQ(started.verdict, vm_verdict::done);
    EXPECT_EQ(send(vm, 1, start).verdict, vm_verdict::lower_epoch);

    watch_command watch;
    watch.incarnation = first.incarnation;
    watch.after = started.report.number;
    watch.wait = standins::generous_timeout;
    const auto ended = send(vm, 2, watch);
    ASSERT_EQ(ended.report.finished.size(), 1U);
    EXPECT_EQ(ended.report.finished[0].completion, task_completion::completed);
    EXPECT_EQ(ended.report.finished[0].answer, start.payload);
    EXPECT_EQ(ended.report.finished[0].answer_digest,
              cranberrydock::base::sha256_hex(start.payload));

    watch.acknowledge = {start.attempt};
    watch.wait = base::milliseconds{0};
    EXPECT_TRUE(send(vm, 2, watch).report.finished.empty());
    EXPECT_EQ(cluster_.checker_report().at("total"), 0);
    EXPECT_EQ(cluster_.checker_report().at("starts"), 1);
}

}  // namespace
