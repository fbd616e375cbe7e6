// Compares cell sizes: the same 432 VMs as one cell per rack, as three cells, and as one cell.
// Packing is the fraction of the capacity in use when the first task does not fit. The other
// results are the waiting time of urgent work at 0.9 of the capacity and the error of the teams'
// shares under overload. Tasks go to the cell that the hash of their job selects.
#include <cranberrydock/base/rendezvous.hpp>

#include "baseline_scheduler.hpp"
#include "scheduler_workload.hpp"

#include <cmath>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 432;
constexpr double simulated_seconds = 30;
const std::vector<double> weights = {3, 2, 1, 1, 1, 1};

using scheduler_maker = std::unique_ptr<policy::scheduler> (*)();

std::unique_ptr<policy::scheduler> product_scheduler() {
    return policy::make_scheduler();
}
std::unique_ptr<policy::scheduler> first_fit() {
    return std::make_unique<baseline_scheduler>(baseline_order::fifo);
}

// Most tasks need much of one resource and little of the other; some need up to half a VM.
base::resources any_size(std::mt19937_64& random) {
    const auto random_fraction = [&](std::int64_t total, std::uint64_t percent) {
        return total * static_cast<std::int64_t>(1 + random() % percent) / 100;
    };
    switch (random() % 8) {
        case 0:
            return amounts(random_fraction(vm_millicores, 50),
                           random_fraction(vm_memory.value(), 50));
        case 1:
        case 2:
        case 3:
            return amounts(random_fraction(vm_millicores, 25),
                           random_fraction(vm_memory.value(), 8));
        default:
            return amounts(random_fraction(vm_millicores, 8),
                           random_fraction(vm_memory.value(), 25));
    }
}

workload_task next_task(std::mt19937_64& random, int n, const char* queue, base::time_point when) {
    workload_task next;
    next.declared.id = base::task_id("t" + std::to_string(n));
    next.declared.job = base::job_id("j" + std::to_string(n));
    next.declared.team = team_named(static_cast<int>(random() % weights.size()));
    next.declared.queue = base::queue_name(queue);
    next.declared.kind = base::kind_name(queue);
    next.declared.need = any_size(random);
    next.declared.accepted = when;
    next.real = next.declared.need;
    next.run_time =
        duration_of(std::exponential_distribution<double>(0.5)(random)) + base::milliseconds(50);
    return next;
}

// The larger of the fractions of cores and memory in use when the first task does not fit.
double packed_fraction(scheduler_maker make, int vms_per_cell) {
    constexpr int fills = 16;  // of all cells, to average out the size of the last task
    std::mt19937_64 random(workload_seed);
    double sum = 0;
    const int cells = fills * vms / vms_per_cell;
    for (int c = 0; c < cells; ++c) {
        const auto sched = set_up_cell(make(), vms_per_cell, weights);
        std::int64_t cores = 0;
        std::int64_t memory = 0;
        for (int n = 0;; ++n) {
            const workload_task offered = next_task(random, n, "must_finish", {});
            if (!sched->enqueue(offered.declared, {}) || sched->decide({}, 10).empty()) {
                break;
            }
            cores += offered.real.cores.value();
            memory += offered.real.memory.value();
        }
        const double vm_count = vms_per_cell;
        sum += std::max(
            static_cast<double>(cores) / (vm_count * vm_millicores),
            static_cast<double>(memory) / (vm_count * static_cast<double>(vm_memory.value())));
    }
    return sum / cells;
}

// Several cells that have run the tasks sent to them for the simulated time.
struct many_cells {
    std::vector<std::unique_ptr<cell_event_loop>> cells;
    std::vector<double> waits;         // seconds, of urgent tasks
    std::vector<double> core_seconds;  // by team

    many_cells(scheduler_maker make, int vms_per_cell, double load)
        : core_seconds(weights.size(), 0) {
        for (int i = 0; i < vms / vms_per_cell; ++i) {
            cells.push_back(std::make_unique<cell_event_loop>(
                set_up_cell(make(), vms_per_cell, weights, i * vms_per_cell)));
            cells.back()->on_started = [this](const workload_task& started, base::time_point now) {
                if (started.declared.queue.str() == "latency") {
                    waits.push_back(seconds_of(now - started.declared.accepted));
                }
            };
            cells.back()->on_ended = [this](const task_result& ended) {
                const auto team = static_cast<std::size_t>(ended.task.declared.team.str()[4] - '0');
                core_seconds[team] += seconds_of(ended.task.run_time) *
                                      static_cast<double>(ended.task.real.cores.value());
            };
        }
        send(load);
        for (const auto& it : cells) {
            it->run_until(base::time_point(duration_of(simulated_seconds)));
        }
    }

    // The largest difference between a team's fraction of the completed work and its fraction of
    // the weights, relative to the latter.
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
            workload_task sent = next_task(random, n++, queue, when);
            const auto home_cell =
                base::rendezvous_weight(sent.declared.job.str(), "") % cells.size();
            cells[home_cell]->arrive_at(when, std::move(sent));
        }
    }
};

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    for (const int vms_per_cell : {8, 144, 432}) {
        const std::string suffix = "_" + std::to_string(vms_per_cell) + "_vms_a_cell";
        print("packed_first_fit" + suffix, packed_fraction(first_fit, vms_per_cell), "");
        print("packed_cranberrydock" + suffix, packed_fraction(product_scheduler, vms_per_cell),
              "");
        const many_cells busy(product_scheduler, vms_per_cell, 0.9);
        print("urgent_wait_p50_at_0.9" + suffix, quantile(busy.waits, 0.5) * 1e3, "ms");
        print("urgent_wait_p99_at_0.9" + suffix, quantile(busy.waits, 0.99) * 1e3, "ms");
        const many_cells overloaded(product_scheduler, vms_per_cell, 4);
        print("worst_share_error_at_4" + suffix, overloaded.worst_share_error(), "");
    }
}
