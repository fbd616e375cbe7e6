// Compares two ways to select the daemons that take over the cells of a failed owner: the next
// daemon of each cell by rendezvous hashing, and an equal distribution over the survivors, one cell
// at a time, in an order given by the name of the failed owner. Results are the highest number of
// cells that one survivor takes over after one failure, and the highest number that one survivor
// then owns, over every failure of many fleets with seeded names.
#include <cranberrydock/base/rendezvous.hpp>

#include "scheduler_workload.hpp"

#include <string>
#include <vector>

namespace base = cranberrydock::base;
using namespace cranberrydock::test;

namespace {

struct fleet {
    std::vector<std::string> daemons;
    std::vector<std::vector<std::size_t>> order_of_cell;  // indexes of daemons, best first
    std::vector<std::vector<std::string>> cells_of;       // by daemon; names
    // By daemon; the successor for each of its cells.
    std::vector<std::vector<std::size_t>> successors_of;
};

fleet make_fleet(int daemons, int cells, std::mt19937_64& random) {
    fleet result;
    for (int i = 0; i < daemons; ++i) {
        result.daemons.push_back("daemon-" + std::to_string(random()));
    }
    result.cells_of.resize(result.daemons.size());
    result.successors_of.resize(result.daemons.size());
    for (int i = 0; i < cells; ++i) {
        const std::string cell = "cell-" + std::to_string(i);
        const auto order = base::rendezvous_order(cell, result.daemons);
        result.cells_of[order[0]].push_back(cell);
        result.successors_of[order[0]].push_back(order[1]);
    }
    return result;
}

std::vector<std::size_t> assign_by_rendezvous(const fleet& before_failure, std::size_t failed) {
    std::vector<std::size_t> cells_taken(before_failure.daemons.size(), 0);
    for (const std::size_t next : before_failure.successors_of[failed]) {
        ++cells_taken[next];
    }
    return cells_taken;
}

std::vector<std::size_t> assign_in_equal_parts(const fleet& before_failure, std::size_t failed) {
    std::vector<std::size_t> survivors;
    for (const std::size_t i :
         base::rendezvous_order(before_failure.daemons[failed], before_failure.daemons)) {
        if (i != failed) {
            survivors.push_back(i);
        }
    }
    std::vector<std::size_t> cells_taken(before_failure.daemons.size(), 0);
    for (std::size_t n = 0; n < before_failure.cells_of[failed].size(); ++n) {
        ++cells_taken[survivors[n % survivors.size()]];
    }
    return cells_taken;
}

struct outcome {
    // For each failure, the highest number of cells that one survivor takes over, and the highest
    // number that one survivor then owns.
    std::vector<double> extra;
    std::vector<double> owned;

    void add(const fleet& before_failure, std::size_t failed,
             const std::vector<std::size_t>& cells_taken) {
        std::size_t most_taken = 0;
        std::size_t most_owned = 0;
        for (std::size_t i = 0; i < cells_taken.size(); ++i) {
            const std::size_t owned =
                i == failed ? 0 : before_failure.cells_of[i].size() + cells_taken[i];
            most_taken = std::max(most_taken, cells_taken[i]);
            most_owned = std::max(most_owned, owned);
        }
        extra.push_back(static_cast<double>(most_taken));
        owned.push_back(static_cast<double>(most_owned));
    }

    void report(const std::string& name) const {
        double sum = 0;
        for (const double it : extra) {
            sum += it;
        }
        print("extra_cells_mean_" + name, sum / static_cast<double>(extra.size()), "cells");
        print("extra_cells_p99_" + name, quantile(extra, 0.99), "cells");
        print("extra_cells_worst_" + name, quantile(extra, 1), "cells");
        print("owned_after_p50_" + name, quantile(owned, 0.5), "cells");
        print("owned_after_p99_" + name, quantile(owned, 0.99), "cells");
        print("owned_after_worst_" + name, quantile(owned, 1), "cells");
    }
};

void measure(int daemons, int cells, int fleets) {
    std::mt19937_64 random(workload_seed);
    outcome rendezvous;
    outcome equal_parts;
    for (int i = 0; i < fleets; ++i) {
        const fleet seeded_fleet = make_fleet(daemons, cells, random);
        for (std::size_t failed = 0; failed < seeded_fleet.daemons.size(); ++failed) {
            rendezvous.add(seeded_fleet, failed, assign_by_rendezvous(seeded_fleet, failed));
            equal_parts.add(seeded_fleet, failed, assign_in_equal_parts(seeded_fleet, failed));
        }
    }
    const std::string suffix =
        std::to_string(daemons) + "_daemons_" + std::to_string(cells) + "_cells";
    rendezvous.report("rendezvous_" + suffix);
    equal_parts.report("equal_parts_" + suffix);
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    measure(7, 3, 2000);
    measure(7, 21, 2000);
    measure(115, 115, 40);
    measure(115, 460, 20);
}
