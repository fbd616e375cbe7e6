// Clusters of several sizes for the benchmarks with real processes, and statistics of their runs.
// To run these benchmarks, set CRANBERRYDOCK_BIN to the folder of the built programs.
#pragma once

#include <standins/cell_cluster.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace cranberrydock::performance {

struct cluster_size {
    int daemons = 7;
    int vms_per_zone = 10;  // in each of five availability zones
    int teams = 6;
};

// A cluster with one cell for each of five zones. The team "survey" may use all slots; the other
// teams have no work.
inline standins::cell_cluster_options shape_of(const cluster_size& size) {
    const std::vector<std::string> zones = {"northcoast-a", "northcoast-b", "northcoast-c",
                                            "southvale-a", "southvale-b"};
    standins::cell_cluster_options out;
    out.daemons.clear();
    out.vm_fleet.zones.clear();
    out.vm_fleet.vms_per_zone = size.vms_per_zone;
    out.configuration = standins::default_configuration();
    out.configuration["cells"] = nlohmann::json::object();
    for (const auto& it : zones) {
        const std::string region = it.substr(0, it.find('-'));
        out.vm_fleet.zones.append(out.vm_fleet.zones.empty() ? "" : ",");
        out.vm_fleet.zones.append(region).append("/").append(it);
        out.configuration["cells"][it] = {{"region", region}, {"zone", it}};
    }
    for (int i = 0; i < size.daemons; ++i) {
        const std::string& zone = zones.at(static_cast<std::size_t>(i) % zones.size());
        out.daemons.push_back(
            {"entry-" + std::to_string(i + 1), zone.substr(0, zone.find('-')), zone});
    }
    out.configuration["teams"]["survey"]["upper_limit"] = 16 * 5 * size.vms_per_zone;
    for (int i = 1; i < size.teams; ++i) {
        out.configuration["teams"]["team-" + std::to_string(i)] = {
            {"home_region", i % 2 == 0 ? "northcoast" : "southvale"},
            {"share", 1},
            {"upper_limit", 16}};
    }
    return out;
}

inline void print(const std::string& name, double value, const char* unit) {
    std::printf("%s %.6g %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

// Prints the number of runs, the median and the worst value.
inline void print_distribution(const std::string& name, std::vector<double> values,
                               const char* unit) {
    std::sort(values.begin(), values.end());
    print(name + "_runs", static_cast<double>(values.size()), "runs");
    print(name + "_median", values.at(values.size() / 2), unit);
    print(name + "_worst", values.back(), unit);
}

}  // namespace cranberrydock::performance
