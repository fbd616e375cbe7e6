// Goodput of urgent work at 1, 2 and 3 times the capacity of a cell of 50 VMs, and how long after
// the wave requests are all answered in time again; against one queue in order of arrival.
#include "baseline_scheduler.hpp"
#include "workload.hpp"

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 50;
constexpr double wave_begin = 20;  // seconds
constexpr double wave_end = 60;
constexpr double simulated_seconds = 160;
constexpr double usual_load = 0.6;
constexpr double part_in_time_when_recovered = 0.99;

struct second_of_arrivals {
    double arrived = 0;
    double in_time = 0;
};

workload_task next_task(std::mt19937_64& random, int n, base::time_point when) {
    workload_task one;
    one.declared.id = base::task_id("t" + std::to_string(n));
    one.declared.job = base::job_id("j" + std::to_string(n));
    one.declared.team = team_named(static_cast<int>(random() % 6));
    one.declared.queue = base::queue_name("latency");
    one.declared.kind = base::kind_name("preview");
    one.declared.need = amounts(2000, 4096);
    one.declared.accepted = when;
    one.declared.deadline = when + duration_of(5.9);
    one.real = one.declared.need;
    one.run_time = duration_of(std::uniform_real_distribution<double>(0.5, 1.5)(random));
    return one;
}

std::vector<second_of_arrivals> run(std::unique_ptr<policy::scheduler> sched, double wave) {
    std::vector<second_of_arrivals> seconds(static_cast<std::size_t>(simulated_seconds) + 1);
    event_loop_of_a_cell cell(set_up(std::move(sched), vms, std::vector<double>(6, 1.0)));
    std::mt19937_64 random(workload_seed);
    const double capacity = vms * vm_millicores / 1000.0 / 2;  // requests a second
    int n = 0;
    for (double t = 0; t < simulated_seconds;) {
        const double load = t >= wave_begin && t < wave_end ? wave : usual_load;
        t += std::exponential_distribution<double>(capacity * load)(random);
        const base::time_point when{duration_of(t)};
        cell.arrive_at(when, next_task(random, n++, when));
    }
    const auto second_of = [&](const workload_task& one) -> second_of_arrivals& {
        const auto s =
            static_cast<std::size_t>(seconds_of(one.declared.accepted.time_since_epoch()));
        return seconds[std::min(s, seconds.size() - 1)];
    };
    cell.on_ended = [&](const task_result& one) {
        second_of_arrivals& it = second_of(one.task);
        ++it.arrived;
        it.in_time += one.ended <= *one.task.declared.deadline ? 1 : 0;
    };
    cell.on_refused = [&](const workload_task& one, const base::refusal&) {
        ++second_of(one).arrived;
    };
    // What still runs at the end is let end.
    cell.run_until(base::time_point(duration_of(simulated_seconds + 100)));
    return seconds;
}

void report(const std::string& name, double wave, const std::vector<second_of_arrivals>& seconds) {
    char at[32];
    std::snprintf(at, sizeof at, "_%s_at_%.0f", name.c_str(), wave);
    double good = 0;
    const auto begin = static_cast<std::size_t>(wave_begin);
    const auto end = static_cast<std::size_t>(wave_end);
    for (std::size_t s = begin; s < end; ++s) {
        good += seconds[s].in_time;
    }
    print(std::string("goodput") + at, good / static_cast<double>(end - begin), "1/s");
    std::size_t recovered = static_cast<std::size_t>(simulated_seconds) - 10;
    while (recovered > end && seconds[recovered - 1].in_time >=
                                  part_in_time_when_recovered * seconds[recovered - 1].arrived) {
        --recovered;
    }
    print(std::string("recovery_after_wave") + at, static_cast<double>(recovered - end), "s");
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    for (const double wave : {1.0, 2.0, 3.0}) {
        report("cranberrydock", wave, run(policy::make_scheduler(), wave));
        report("fifo", wave, run(std::make_unique<baseline_scheduler>(baseline_order::fifo), wave));
    }
}
