// Measures the goodput of urgent work at 1, 2 and 3 times the capacity of a cell of 50 VMs, and the
// time after the overload until all requests are answered within their deadline again, against one
// queue in order of arrival.
#include "baseline_scheduler.hpp"
#include "scheduler_workload.hpp"

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 50;
constexpr double wave_begin = 20;  // seconds
constexpr double wave_end = 60;
constexpr double simulated_seconds = 160;
constexpr double normal_load = 0.6;
constexpr double recovered_fraction_in_time = 0.99;

struct second_of_arrivals {
    double arrived = 0;
    double in_time = 0;
};

workload_task next_task(std::mt19937_64& random, int n, base::time_point when) {
    workload_task next;
    next.declared.id = base::task_id("t" + std::to_string(n));
    next.declared.job = base::job_id("j" + std::to_string(n));
    next.declared.team = team_named(static_cast<int>(random() % 6));
    next.declared.queue = base::queue_name("latency");
    next.declared.kind = base::kind_name("preview");
    next.declared.need = amounts(2000, 4096);
    next.declared.accepted = when;
    next.declared.deadline = when + duration_of(5.9);
    next.real = next.declared.need;
    next.run_time = duration_of(std::uniform_real_distribution<double>(0.5, 1.5)(random));
    return next;
}

std::vector<second_of_arrivals> run(std::unique_ptr<policy::scheduler> sched, double wave) {
    std::vector<second_of_arrivals> seconds(static_cast<std::size_t>(simulated_seconds) + 1);
    cell_event_loop cell(set_up_cell(std::move(sched), vms, std::vector<double>(6, 1.0)));
    std::mt19937_64 random(workload_seed);
    const double capacity = vms * vm_millicores / 1000.0 / 2;  // requests per second
    int n = 0;
    for (double t = 0; t < simulated_seconds;) {
        const double load = t >= wave_begin && t < wave_end ? wave : normal_load;
        t += std::exponential_distribution<double>(capacity * load)(random);
        const base::time_point when{duration_of(t)};
        cell.arrive_at(when, next_task(random, n++, when));
    }
    const auto second_of = [&](const workload_task& arrived_task) -> second_of_arrivals& {
        const auto s =
            static_cast<std::size_t>(seconds_of(arrived_task.declared.accepted.time_since_epoch()));
        return seconds[std::min(s, seconds.size() - 1)];
    };
    cell.on_ended = [&](const task_result& ended_task) {
        second_of_arrivals& it = second_of(ended_task.task);
        ++it.arrived;
        it.in_time += ended_task.ended <= *ended_task.task.declared.deadline ? 1 : 0;
    };
    cell.on_refused = [&](const workload_task& refused_task, const base::refusal&) {
        ++second_of(refused_task).arrived;
    };
    // Lets the tasks that still run at the end complete.
    cell.run_until(base::time_point(duration_of(simulated_seconds + 100)));
    return seconds;
}

void report(const std::string& name, double wave, const std::vector<second_of_arrivals>& seconds) {
    char suffix[32];
    std::snprintf(suffix, sizeof suffix, "_%s_at_%.0f", name.c_str(), wave);
    double in_time_total = 0;
    const auto begin = static_cast<std::size_t>(wave_begin);
    const auto end = static_cast<std::size_t>(wave_end);
    for (std::size_t s = begin; s < end; ++s) {
        in_time_total += seconds[s].in_time;
    }
    print(std::string("goodput") + suffix, in_time_total / static_cast<double>(end - begin), "1/s");
    std::size_t recovered = static_cast<std::size_t>(simulated_seconds) - 10;
    while (recovered > end && seconds[recovered - 1].in_time >=
                                  recovered_fraction_in_time * seconds[recovered - 1].arrived) {
        --recovered;
    }
    print(std::string("recovery_after_wave") + suffix, static_cast<double>(recovered - end), "s");
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    for (const double wave : {1.0, 2.0, 3.0}) {
        report("cranberrydock", wave, run(policy::make_scheduler(), wave));
        report("fifo", wave, run(std::make_unique<baseline_scheduler>(baseline_order::fifo), wave));
    }
}
