// Measures the time from the acceptance of a configuration patch until it is in force at all of
// seven daemons. Target: within 15 s.
#include <cranberrydock/base/clock.hpp>

#include "benchmark_clusters.hpp"

#include <chrono>
#include <future>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::performance;

constexpr int patches = 200;

std::int64_t version_at(const net::endpoint& entry) {
    return standins::get_json(entry, "/v1/config").at("version");
}

}  // namespace

int main() {
    standins::cell_cluster daemons(shape_of({}));
    const base::monotonic_clock clock;
    std::vector<double> milliseconds;
    for (int i = 0; i < patches; ++i) {
        const auto entry = static_cast<std::size_t>(i) % daemons.size();
        const std::int64_t version =
            daemons.patch_configuration(entry, {{"teams", {{"survey", {{"share", 1 + i % 9}}}}}});
        const auto accepted = clock.now();
        std::vector<std::future<bool>> waits;
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
            waits.push_back(std::async(std::launch::async, [&daemons, daemon, version] {
                return standins::wait_until(
                    [&] { return version_at(daemons.entry(daemon)) >= version; });
            }));
        }
        for (auto& it : waits) {
            it.get();
        }
        milliseconds.push_back(
            std::chrono::duration<double, std::milli>(clock.now() - accepted).count());
    }
    print_distribution("configuration_accepted_to_in_force_everywhere", milliseconds, "ms");
    return 0;
}
