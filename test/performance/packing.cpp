// How many VMs a cell should have: the same 432 VMs as one cell a rack, three cells, or one cell
// for all. Packing is the share of capacity in use when the first task does not fit; beside it
// stand the waiting time of urgent work at 0.9 of capacity and the error of the teams' shares under
// overload, for tasks that go to the cell that their job's hash names.
#include <cranberrydock/base/rendezvous.hpp>

#include "baseline_scheduler.hpp"
#include "workload.hpp"

#include <cmath>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 432;
constexpr double simulated_seconds = 30;
const std::vector<double> weights = {3, 2, 1, 1, 1, 1};

using scheduler_maker = std::unique_ptr<policy::scheduler> (*)();

std::unique_ptr<policy::scheduler> tight() {
    return policy::make_scheduler();
}
std::unique_ptr<policy::scheduler> first_fit() {
    return std::make_unique<baseline_scheduler>(baseline_order::fifo);
}

// Tasks that need much of one resource and little of the other, and some that need half a VM.
base::resources any_size(std::mt19937_64& random) {
    const auto part = [&](std::int64_t of, std::uint64_t percent) {
        return of * static_cast<std::int64_t>(1 + random() % percent) / 100;
    };
    switch (random() % 8) {
        case 0:
            return amounts(part(vm_millicores, 50), part(vm_memory.value(), 50));
        case 1:
        case 2:
        case 3:
            return amounts(part(vm_millicores, 25), part(vm_memory.value(), 8));
        default:
            return amounts(part(vm_millicores, 8), part(vm_memory.value(), 25));
    }
}

workload_task next_task(std::mt19937_64& random, int n, const char* queue, base::time_point when) {
    workload_task one;
    one.declared.id = base::task_id("t" + std::to_string(n));
    one.declared.job = base::job_id("j" + std::to_string(n));
    one.declared.team = team_named(static_cast<int>(random() % weights.size()));
    one.declared.queue = base::queue_name(queue);
    one.declared.kind = base::kind_name(queue);
    one.declared.need = any_size(random);
    one.declared.accepted = when;
    one.real = one.declared.need;
    one.run_time =
        duration_of(std::exponential_distribution<double>(0.5)(random)) + base::milliseconds(50);
    return one;
}

// The larger of the parts of cores and memory in use when the first task finds no room.
double packed(scheduler_maker make, int vms_a_cell) {
    constexpr int fills = 16;  // of all cells, since one task more or less makes a difference
    std::mt19937_64 random(workload_seed);
    double sum = 0;
    const int cells = fills * vms / vms_a_cell;
    for (int c = 0; c < cells; ++c) {
        const auto sched = set_up(make(), vms_a_cell, weights);
        std::int64_t cores = 0;
        std::int64_t memory = 0;
        for (int n = 0;; ++n) {
            const workload_task one = next_task(random, n, "must_finish", {});
            if (!sched->enqueue(one.declared, {}) || sched->decide({}, 10).empty()) {
                break;
            }
            cores += one.real.cores.value();
            memory += one.real.memory.value();
        }
        const double all = vms_a_cell;
        sum +=
            std::max(static_cast<double>(cores) / (all * vm_millicores),
                     static_cast<double>(memory) / (all * static_cast<double>(vm_memory.value())));
    }
    return sum / cells;
}

// Sends tasks to the cells for a while and returns the cells' loops when they have run.
struct many_cells {
    std::vector<std::unique_ptr<event_loop_of_a_cell>> cells;
    std::vector<double> waits;         // seconds, of urgent tasks
    std::vector<double> core_seconds;  // by team

    many_cells(scheduler_maker make, int vms_a_cell, double load)
        : core_seconds(weights.size(), 0) {
        for (int i = 0; i < vms / vms_a_cell; ++i) {
            cells.push_back(std::make_unique<event_loop_of_a_cell>(
                set_up(make(), vms_a_cell, weights, i * vms_a_cell)));
            cells.back()->on_started = [this](const workload_task& one, base::time_point now) {
                if (one.declared.queue.str() == "latency") {
                    waits.push_back(seconds_of(now - one.declared.accepted));
                }
            };
            cells.back()->on_ended = [this](const task_result& one) {
                const auto team = static_cast<std::size_t>(one.task.declared.team.str()[4] - '0');
                core_seconds[team] += seconds_of(one.task.run_time) *
                                      static_cast<double>(one.task.real.cores.value());
            };
        }
        send(load);
        for (const auto& it : cells) {
            it->run_until(base::time_point(duration_of(simulated_seconds)));
        }
    }

    // The largest difference of a team's part of the work done to its part of the weights, as a
    // part of the latter.
    double worst_share_error() const {
        double all_work = 0;
        double all_weights = 0;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            all_work += core_seconds[i];
            all_weights += weights[i];
        }
        double worst = 0;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            const double entitled = weights[i] / all_weights;
            worst = std::max(worst, std::abs(core_seconds[i] / all_work - entitled) / entitled);
        }
        return worst;
    }

private:
    void send(double load) {
        std::mt19937_64 random(workload_seed);
        constexpr double mean_run = 2.05;      // seconds
        constexpr double mean_memory = 0.127;  // of a VM, the resource that runs out first
        const double rate = load * vms / (mean_run * mean_memory);
        std::exponential_distribution<double> gap(rate);
        int n = 0;
        for (double t = gap(random); t < simulated_seconds; t += gap(random)) {
            const base::time_point when{duration_of(t)};
            const char* queue = n % 5 == 0 ? "latency" : "must_finish";
            workload_task one = next_task(random, n++, queue, when);
            const auto home = base::rendezvous_weight(one.declared.job.str(), "") % cells.size();
            cells[home]->arrive_at(when, std::move(one));
        }
    }
};

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    for (const int vms_a_cell : {8, 144, 432}) {
        const std::string at = "_" + std::to_string(vms_a_cell) + "_vms_a_cell";
        print("packed_first_fit" + at, packed(first_fit, vms_a_cell), "");
        print("packed_cranberrydock" + at, packed(tight, vms_a_cell), "");
        const many_cells busy(tight, vms_a_cell, 0.9);
        print("urgent_wait_p50_at_0.9" + at, quantile(busy.waits, 0.5) * 1e3, "ms");
        print("urgent_wait_p99_at_0.9" + at, quantile(busy.waits, 0.99) * 1e3, "ms");
        const many_cells overloaded(tight, vms_a_cell, 4);
        print("worst_share_error_at_4" + at, overloaded.worst_share_error(), "");
    }
}
