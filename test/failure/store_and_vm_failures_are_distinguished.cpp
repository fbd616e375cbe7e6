// Checks how the HTTP adapters classify each failure. A write or command that may have taken effect
// is never reported as "not written" or "not run", and a row whose answer was lost can be read
// back.
#include <cranberrydock/platform/http_platform.hpp>

#include "standins/platform_server.hpp"
#include "standins/vm_host.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::platform;

constexpr base::milliseconds generous_timeout{60'000};
constexpr base::milliseconds short_wait{100};

// Answers every request with the same status and body.
class fixed_answer final : public net::http_handler {
public:
    void handle(net::http_request /*request*/, net::http_responder respond) override {
        respond({status, {}, body});
    }
    int status = 200;
    std::string body;
};

class failures : public ::testing::Test {
protected:
    template <typename Value>
    auto store_result_in(std::optional<Value>& out) {
        return [this, &out](auto result) {
            out = std::move(result);
            loop_.stop();
        };
    }

    tl::expected<commit_result, store_error> commit(const net::endpoint& service,
                                                    base::milliseconds timeout = generous_timeout) {
        const auto table = make_http_table_service(*client_, service, timeout);
        std::optional<tl::expected<commit_result, store_error>> out;
        table->commit({{{key_, row_version(0)}}, {{key_, "written"}}}, store_result_in(out));
        loop_.run();
        return *out;
    }

    std::optional<row> read() {
        const auto table =
            make_http_table_service(*client_, server_.listen_endpoint(), generous_timeout);
        std::optional<tl::expected<std::optional<row>, store_error>> out;
        table->read(key_, store_result_in(out));
        loop_.run();
        return out->value();
    }

    vm_result hello(const net::endpoint& vm, base::milliseconds timeout = generous_timeout) {
        const auto vms = make_http_vm_client(*client_);
        std::optional<vm_result> out;
        vms->send(vm, {base::cell_id("c"), base::epoch(1), hello_command{}}, timeout,
                  store_result_in(out));
        loop_.run();
        return std::move(*out);
    }

    void apply_faults(const platform_faults& faults) { server_.state().set_faults(faults); }

    const row_key key_{"cell/a"};
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_ = net::make_http_client(loop_, {});
    standins::platform_server server_{loop_, {"127.0.0.1", 0}};
};

TEST_F(failures, store_error_distinguishes_lost_answer) {
    platform_faults faults;
    faults.unavailable = true;
    apply_faults(faults);
    EXPECT_EQ(commit(server_.listen_endpoint()).error(), store_error::unavailable);
    faults = {};
    faults.lost_unapplied_commits = 1;
    apply_faults(faults);
    EXPECT_EQ(commit(server_.listen_endpoint()).error(), store_error::answer_lost);
    EXPECT_FALSE(read());
    faults = {};
    faults.lost_applied_commits = 1;
    apply_faults(faults);
    EXPECT_EQ(commit(server_.listen_endpoint()).error(), store_error::answer_lost);
    ASSERT_TRUE(read());
    EXPECT_EQ(read()->value, "written");
    EXPECT_EQ(commit(server_.listen_endpoint()).error(), store_error::conflict);
}

TEST_F(failures, slow_store_may_write_after_timeout) {
    platform_faults faults;
    faults.apply_delay = 2 * short_wait;
    apply_faults(faults);
    EXPECT_EQ(commit(server_.listen_endpoint(), short_wait).error(), store_error::answer_lost);
    apply_faults({});
    while (!read()) {  // if the row never appears, the test ends at ctest's timeout
    }
    EXPECT_EQ(read()->value, "written");
}

TEST_F(failures, http_status_maps_to_error) {
    fixed_answer answer;
    const net::http_server fixed_server(loop_, {"127.0.0.1", 0}, {}, answer);
    struct expectation {
        int status;
        store_error store;
        vm_error vm;
    };
    for (const auto& it :
         {expectation{200, store_error::answer_lost, vm_error::answer_lost},  // malformed
          expectation{400, store_error::unavailable, vm_error::not_sent},
          expectation{409, store_error::conflict, vm_error::answer_lost},
          expectation{413, store_error::unavailable, vm_error::not_sent},
          expectation{500, store_error::answer_lost, vm_error::answer_lost},
          expectation{502, store_error::answer_lost, vm_error::answer_lost},
          expectation{503, store_error::unavailable, vm_error::answer_lost}}) {
        answer.status = it.status;
        answer.body = "not CBOR";
        EXPECT_EQ(commit(fixed_server.listen_endpoint()).error(), it.store) << it.status;
        EXPECT_EQ(hello(fixed_server.listen_endpoint()).error(), it.vm) << it.status;
    }
}

TEST_F(failures, vm_error_distinguishes_unsent_command) {
    const base::monotonic_clock clock;
    standins::run_checker checker;
    standins::vm_host vm(loop_, clock, checker, {base::vm_id("vm"), {}, {}}, {}, {"127.0.0.1", 0});
    vm.set_responsiveness(standins::vm_responsiveness::loses_answers);
    EXPECT_EQ(hello(vm.address(), short_wait).error(), vm_error::answer_lost);
    vm.set_responsiveness(standins::vm_responsiveness::responsive);
    EXPECT_EQ(hello(vm.address())->report.epoch, base::epoch(1));
    vm.suspend();
    EXPECT_EQ(hello(vm.address(), short_wait).error(), vm_error::answer_lost);
    vm.kill();
    hello(vm.address());  // a pooled connection may break first
    EXPECT_EQ(hello(vm.address()).error(), vm_error::not_sent);
    EXPECT_EQ(commit(vm.address()).error(), store_error::unavailable);
}

}  // namespace
