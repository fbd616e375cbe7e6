// Who takes a failed owner's cells: each cell's own next by rendezvous hashing, against handing
// them out in equal single parts, one to each of the survivors in an order that the failed owner's
// name gives. Measured is the highest number of cells that one survivor takes over after one
// failure, and the most that it then owns; over every failure of many fleets with seeded names.
#include <cranberrydock/base/rendezvous.hpp>

#include "workload.hpp"

#include <string>
#include <vector>

namespace base = cranberrydock::base;
using namespace cranberrydock::test;

namespace {

struct fleet {
    std::vector<std::string> daemons;
    std::vector<std::vector<std::size_t>> order_of_cell;  // daemons' indexes, best first
    std::vector<std::vector<std::string>> cells_of;       // by daemon; names
    std::vector<std::vector<std::size_t>> next_of_cells;  // by daemon; who is next for each cell
};

fleet make_fleet(int daemons, int cells, std::mt19937_64& random) {
    fleet result;
    for (int i = 0; i < daemons; ++i) {
        result.daemons.push_back("daemon-" + std::to_string(random()));
    }
    result.cells_of.resize(result.daemons.size());
    result.next_of_cells.resize(result.daemons.size());
    for (int i = 0; i < cells; ++i) {
        const std::string cell = "cell-" + std::to_string(i);
        const auto order = base::rendezvous_order(cell, result.daemons);
        result.cells_of[order[0]].push_back(cell);
        result.next_of_cells[order[0]].push_back(order[1]);
    }
    return result;
}

std::vector<std::size_t> taken_by_rendezvous(const fleet& all, std::size_t failed) {
    std::vector<std::size_t> taken(all.daemons.size(), 0);
    for (const std::size_t next : all.next_of_cells[failed]) {
        ++taken[next];
    }
    return taken;
}

std::vector<std::size_t> taken_in_equal_parts(const fleet& all, std::size_t failed) {
    std::vector<std::size_t> survivors;
    for (const std::size_t i : base::rendezvous_order(all.daemons[failed], all.daemons)) {
        if (i != failed) {
            survivors.push_back(i);
        }
    }
    std::vector<std::size_t> taken(all.daemons.size(), 0);
    for (std::size_t n = 0; n < all.cells_of[failed].size(); ++n) {
        ++taken[survivors[n % survivors.size()]];
    }
    return taken;
}

struct outcome {
    std::vector<double> extra;  // highest number taken by one survivor, for each failure
    std::vector<double> owned;  // highest number owned after it

    void add(const fleet& all, std::size_t failed, const std::vector<std::size_t>& taken) {
        std::size_t most_taken = 0;
        std::size_t most_owned = 0;
        for (std::size_t i = 0; i < taken.size(); ++i) {
            const std::size_t owned = i == failed ? 0 : all.cells_of[i].size() + taken[i];
            most_taken = std::max(most_taken, taken[i]);
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
        const fleet one = make_fleet(daemons, cells, random);
        for (std::size_t failed = 0; failed < one.daemons.size(); ++failed) {
            rendezvous.add(one, failed, taken_by_rendezvous(one, failed));
            equal_parts.add(one, failed, taken_in_equal_parts(one, failed));
        }
    }
    const std::string at = std::to_string(daemons) + "_daemons_" + std::to_string(cells) + "_cells";
    rendezvous.report("rendezvous_" + at);
    equal_parts.report("equal_parts_" + at);
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    measure(7, 3, 2000);
    measure(7, 21, 2000);
    measure(115, 115, 40);
    measure(115, 460, 20);
}
