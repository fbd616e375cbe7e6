// Guards against leases of the stand-in's VMs that last too long because its thread is busy: the
// owner would then seem to start their tasks too early.
#include "standins/cluster.hpp"
#include "standins/platform_site.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace {

using namespace cranberrydock;
using nlohmann::json;

constexpr base::milliseconds call_timeout{5'000};

class busy_site : public testing::Test {
public:
    static standins::platform_site_options plan() {
        standins::platform_site_options out;
        out.vms = 1;
        out.task_fails = [](const fleet::task_ref&) {
            std::this_thread::sleep_for(busy_time);
            return false;
        };
        return out;
    }

    json call_vm(const std::string& path, const json& body) {
        net::http_request request;
        request.method = net::http_method::post;
        request.path = path;
        request.body = body.dump();
        const auto address = json::parse(site.row_value("servers", "i-0")).at("address");
        const auto response = standins::call(net::parse_endpoint(address.get<std::string>()),
                                             std::move(request), call_timeout);
        return response ? json::parse(response->body) : json::object();
    }

    std::int64_t vm_clock_ms() {
        return call_vm("/cranberrydock/hold", {{"fencingToken", 1}}).at("clockMs");
    }

    static constexpr std::chrono::milliseconds busy_time{1'000};
    standins::platform_site site{plan()};
};

TEST_F(busy_site, vm_clocks_follow_real_time) {
    const std::int64_t before = vm_clock_ms();
    call_vm("/cranberrydock/run-start", {{"task", "0000000000000001.0.0.0"},
                                         {"run", 1},
                                         {"deadlineMs", before + 10 * busy_time.count()},
                                         {"fencingToken", 1}});
    EXPECT_GE(vm_clock_ms() - before, busy_time.count());
}

}  // namespace
