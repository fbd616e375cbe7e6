// Measures the cost of the control plane: processor time and memory of each daemon, operations of
// the store and bytes sent between daemons; idle, under load and with configuration changes, for
// several cluster sizes.
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>

#include "benchmark_clusters.hpp"

#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

DEFINE_string(only, "", "measure only the row with this name");

namespace {

using namespace cranberrydock;
using namespace cranberrydock::performance;

constexpr base::milliseconds warm_up_time{4'000};
constexpr base::milliseconds measuring_time{8'000};
constexpr base::milliseconds send_period{10};
constexpr double kib_per_mib = 1024;
constexpr int http_ok = 200;

struct cost {
    double processor_seconds = 0;  // of all daemons
    double resident_mib = 0;       // of the largest
    double mesh_bytes = 0;         // sent by all daemons
    double store_reads = 0;
    double store_scans = 0;
    double store_commits = 0;
    double store_bytes = 0;
    double starts = 0;
};

double processor_seconds(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/stat");
    std::string field;
    std::getline(in, field, ')');  // the name may contain spaces
    double ticks = 0;
    constexpr int user_time = 12;  // position among the fields after the name
    constexpr int system_time = 13;
    for (int i = 1; i <= system_time && in >> field; ++i) {
        ticks += i >= user_time ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mib(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stod(line.substr(sizeof "VmRSS:")) / kib_per_mib;
        }
    }
    return 0;
}

double mesh_bytes_sent(const std::string& metrics) {
    std::istringstream in(metrics);
    double out = 0;
    for (std::string line; std::getline(in, line);) {
        const bool is_sent_total = line.find("mesh_bytes_total{") != std::string::npos &&
                                   line.find("\"sent\"") != std::string::npos;
        out += is_sent_total ? std::stod(line.substr(line.rfind(' '))) : 0;
    }
    return out;
}

cost cost_so_far(const standins::cell_cluster& daemons) {
    cost out;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        out.processor_seconds += processor_seconds(daemons.daemon_process(i).id());
        out.resident_mib = std::max(out.resident_mib, resident_mib(daemons.daemon_process(i).id()));
        out.mesh_bytes += mesh_bytes_sent(daemons.metrics(i));
    }
    const auto store = daemons.platform_counters();
    out.store_reads = store.at("reads");
    out.store_scans = store.at("scans");
    out.store_commits = store.at("commits");
    out.store_bytes = store.at("bytes_written");
    out.starts = daemons.checker_report().at("starts");
    return out;
}

// The load during the measurement.
struct load {
    int starts_per_second = 0;
    int patches_per_second = 0;
};

// Sends the load from one event loop without waiting for answers, and counts failed requests.
class load_driver {
public:
    load_driver(const standins::cell_cluster& daemons, const load& traffic) : daemons_(daemons) {
        const int batch_size =
            traffic.starts_per_second * static_cast<int>(send_period.count()) / 1'000;
        if (batch_size > 0) {
            sending_ = loop_.every(send_period, [this, batch_size] { send(batch_size); });
        }
        if (traffic.patches_per_second > 0) {
            patching_ = loop_.every(base::milliseconds{1'000 / traffic.patches_per_second},
                                    [this] { daemons_.patch_configuration(0, next_patch()); });
        }
    }

    void run_for(base::milliseconds time) {
        const auto end = loop_.after(time, [this] { loop_.stop(); });
        loop_.run();
    }

    int failed() const { return failed_; }

private:
    void send(int n) {
        for (int i = 0; i < n; ++i) {
            const auto entry = static_cast<std::size_t>(sent_++) % daemons_.size();
            client_->send(daemons_.entry(entry),
                          {net::http_method::post,
                           "/v1/requests",
                           "",
                           {},
                           R"({"queue":"mosaics","kind":"test","payload":"{\"for_ms\":20}"})"},
                          standins::generous_timeout, [this](const net::http_result& result) {
                              failed_ += !result || result->status != http_ok ? 1 : 0;
                          });
        }
    }

    nlohmann::json next_patch() {
        return {{"teams", {{"survey", {{"share", 1 + patched_++ % 9}}}}}};
    }

    const standins::cell_cluster& daemons_;
    net::event_loop loop_;
    std::unique_ptr<net::http_client> client_ = net::make_http_client(loop_, {});
    std::unique_ptr<net::timer> sending_;
    std::unique_ptr<net::timer> patching_;
    int sent_ = 0;
    int patched_ = 0;
    int failed_ = 0;
};

void measure(const std::string& name, const cluster_size& size, const load& traffic) {
    if (!FLAGS_only.empty() && FLAGS_only != name) {
        return;
    }
    standins::cell_cluster daemons(shape_of(size));
    load_driver driver(daemons, traffic);
    driver.run_for(warm_up_time);
    const base::monotonic_clock clock;
    const cost before = cost_so_far(daemons);
    const auto begin = clock.now();
    driver.run_for(measuring_time);
    const cost after = cost_so_far(daemons);
    const double seconds = std::chrono::duration<double>(clock.now() - begin).count();
    const auto rate = [&](double cost::*field) { return (after.*field - before.*field) / seconds; };
    const double percent = 100;
    print(name + "_core_per_daemon", rate(&cost::processor_seconds) / size.daemons * percent, "%");
    print(name + "_resident_largest", after.resident_mib, "MiB");
    print(name + "_mesh_sent_per_daemon", rate(&cost::mesh_bytes) / size.daemons, "B/s");
    print(name + "_store_reads", rate(&cost::store_reads), "1/s");
    print(name + "_store_scans", rate(&cost::store_scans), "1/s");
    print(name + "_store_commits", rate(&cost::store_commits), "1/s");
    print(name + "_store_written", rate(&cost::store_bytes), "B/s");
    print(name + "_starts", rate(&cost::starts), "1/s");
    print(name + "_failed", driver.failed(), "requests");
}

}  // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure("idle_d7_v50_t6", {7, 10, 6}, {});
    measure("load200_d7_v50_t6", {7, 10, 6}, {200, 0});
    measure("load1000_d7_v50_t6", {7, 10, 6}, {1'000, 0});
    measure("idle_d7_v25_t6", {7, 5, 6}, {});
    measure("idle_d7_v100_t6", {7, 20, 6}, {});
    measure("idle_d3_v50_t6", {3, 10, 6}, {});
    measure("idle_d5_v50_t6", {5, 10, 6}, {});
    measure("idle_d7_v50_t60", {7, 10, 60}, {});
    measure("idle_d7_v50_t260", {7, 10, 260}, {});
    measure("patches5_d7_v50_t6", {7, 10, 6}, {0, 5});
    return 0;
}
