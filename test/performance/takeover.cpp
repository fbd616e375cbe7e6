// Measures how long a cell places no tasks after its owner is killed: the time from SIGKILL to the
// answer to a request that was sent immediately through another entry. Target: within 5.9 s.
#include <cranberrydock/base/clock.hpp>

#include "benchmark_clusters.hpp"

#include <chrono>
#include <csignal>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::performance;

constexpr int runs = 21;
constexpr int http_ok = 200;

// The only cell in the team's home region.
constexpr const char* cell_name = "southvale-a";

standins::cell_cluster_options shape() {
    standins::cell_cluster_options out = shape_of({3, 2, 1});
    out.configuration["cells"].erase("southvale-b");
    out.configuration["teams"]["survey"]["home_region"] = "southvale";
    return out;
}

// Returns the time in seconds, negative if the request failed.
double measure_takeover(standins::cell_cluster& daemons, std::size_t owner) {
    const base::monotonic_clock clock;
    standins::work_request work;
    work.task_time_ms = 1;
    daemons.daemon_process(owner).signal(SIGKILL);
    const auto killed = clock.now();
    const auto result = daemons.submit((owner + 1) % daemons.size(), work);
    const double elapsed = std::chrono::duration<double>(clock.now() - killed).count();
    daemons.kill(owner);
    return result.status == http_ok ? elapsed : -elapsed;
}

}  // namespace

int main() {
    standins::cell_cluster daemons(shape());
    std::vector<double> seconds;
    int failed = 0;
    for (int i = 0; i < runs; ++i) {
        const auto owner = daemons.owner_of(cell_name);
        const double elapsed = measure_takeover(daemons, owner.value());
        failed += elapsed < 0 ? 1 : 0;
        seconds.push_back(elapsed < 0 ? -elapsed : elapsed);
        daemons.restart(*owner);
        daemons.wait_until_owned(cell_name);
        standins::wait_until([&] {
            return standins::call(daemons.entry(*owner),
                                  {net::http_method::get, "/readyz", "", {}, ""})
                       ->status == http_ok;
        });
    }
    print_distribution("takeover_kill_to_answer", seconds, "s");
    print("takeover_failed", failed, "requests");
    return 0;
}
