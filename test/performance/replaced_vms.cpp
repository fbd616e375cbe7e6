// Measures how long a fleet starts nothing after its owner is killed, if some of the VMs on record
// were replaced: they run on and don't answer, and as many others are listed. Jobs are submitted
// all the time, and the customer's limit leaves room beside the replaced VMs.
#include <cranberrydock/base/clock.hpp>

#include "benchmark_clusters.hpp"
#include "standins/cluster.hpp"
#include "standins/fleet_cluster.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;

constexpr int daemon_count = 3;
constexpr int max_replaced = 50;
constexpr std::int64_t vm_millicores = 8'000;
constexpr std::chrono::milliseconds poll_period{5};
constexpr base::milliseconds observed_time{14'000};  // longer than every lease and takeover

double measure(int listed_vms, int replaced) {
    platform_site_options options;
    options.vms = listed_vms + replaced;
    options.vm_millicores = vm_millicores;
    fleet_cluster daemons(daemon_count, options);
    for (int i = 0; i < replaced; ++i) {
        daemons.site().set_vm_listed(listed_vms + i, false);
    }
    auto configuration = nlohmann::json::parse(fleet_cluster::configuration(2, false));
    configuration["tenants"][0]["upperBound"]["cpu"] = (2 * max_replaced + 20) * vm_millicores;
    daemons.site().put_row("op", "config", configuration.dump());
    wait_until([&] { return daemons.owner_index() >= 0; });
    // The leases of the VMs that are no longer listed expire.
    std::this_thread::sleep_for(std::chrono::milliseconds(7'000));

    const int killed = daemons.owner_index();
    std::atomic<bool> ended{false};
    std::thread callers([&] {
        for (int job = 0; !ended; ++job) {
            const int daemon = (killed + 1 + job % (daemon_count - 1)) % daemon_count;
            daemons.submit(daemon, job_id_text(job), 4);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
    for (int i = 0; i < replaced; ++i) {
        daemons.site().make_vm_unresponsive(i);
        daemons.site().set_vm_listed(i, false);
    }
    daemons.kill(killed);
    for (int i = 0; i < replaced; ++i) {
        daemons.site().set_vm_listed(listed_vms + i, true);
    }
    const base::monotonic_clock clock;
    const auto killed_at = clock.now();
    auto last_start = killed_at;
    base::duration longest{0};
    int starts = daemons.site().start_count();
    while (clock.now() - killed_at < observed_time) {
        std::this_thread::sleep_for(poll_period);
        const int now_started = daemons.site().start_count();
        if (now_started != starts) {
            starts = now_started;
            last_start = clock.now();
        }
        longest = std::max(longest, base::duration(clock.now() - last_start));
    }
    ended = true;
    callers.join();
    if (daemons.owner_index() == killed) {
        std::fprintf(stderr, "the killed daemon is still the owner\n");
    }
    for (const auto& it : daemons.site().violations()) {
        std::fprintf(stderr, "violation: %s\n", it.c_str());
    }
    return std::chrono::duration<double>(longest).count();
}

}  // namespace

// Arguments: the number of listed VMs, 120 by default.
int main(int argc, char** argv) {
    constexpr int default_vms = 120;
    const int vms = argc > 1 ? std::atoi(argv[1]) : default_vms;
    for (const int replaced : {0, 1, max_replaced}) {
        performance::print("longest_time_without_start_" + std::to_string(replaced) + "_of_" +
                               std::to_string(vms) + "_replaced",
                           measure(vms, replaced), "s");
    }
}
