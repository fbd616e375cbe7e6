// Shares under overload: six customers, two of them large, one small one floods, and every declared
// size is off by 0.2 to 5 times. Counted are requests finished in time against accepted, per team
// and kind, and the work done against what each team is entitled to; with and without learning
// sizes, and for one queue in order of arrival.
#include "baseline_scheduler.hpp"
#include "workload.hpp"

#include <cmath>
#include <map>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 50;
constexpr double simulated_seconds = 120;
const std::vector<double> weights = {3, 3, 1, 1, 1, 1};
constexpr int flooding_team = 5;
constexpr double flood = 10;          // times what the team is entitled to
constexpr double usual_demand = 1.5;  // times what a team is entitled to
const char* const kinds[] = {"latency", "must_finish"};

struct count {
    double accepted = 0;
    double in_time = 0;
};

struct outcome {
    std::map<std::string, count> by_team_and_kind;
    std::vector<double> core_seconds = std::vector<double>(weights.size(), 0);
    double over_memory = 0;  // part of the starts that brought a VM above its memory
};

// Sizes that a kind really has; what is declared is off by a factor, even in its logarithm.
workload_task next_task(std::mt19937_64& random, int n, int team, const char* kind,
                        base::time_point when) {
    workload_task one;
    one.declared.id = base::task_id("t" + std::to_string(n));
    one.declared.job = base::job_id("j" + std::to_string(n));
    one.declared.team = team_named(team);
    one.declared.queue = base::queue_name(kind);
    one.declared.kind = base::kind_name(kind);
    one.declared.accepted = when;
    const bool urgent = std::string(kind) == "latency";
    std::uniform_real_distribution<double> vary(0.8, 1.2);
    const double cores = (urgent ? 1000 : 2000) * vary(random);
    const double memory = (urgent ? 3000 : 6000) * vary(random);
    one.real = amounts(static_cast<std::int64_t>(cores), static_cast<std::int64_t>(memory));
    const double off =
        std::exp(std::uniform_real_distribution<double>(std::log(0.2), std::log(5.0))(random));
    one.declared.need =
        amounts(static_cast<std::int64_t>(cores * off), static_cast<std::int64_t>(memory * off));
    const double run = (urgent ? 1 : 4) * vary(random);
    one.run_time = duration_of(run);
    one.declared.expected_time = duration_of(run * off);
    if (urgent) {
        one.declared.deadline = when + duration_of(5.9);
    }
    return one;
}

void add_arrivals(event_loop_of_a_cell& cell) {
    double all = 0;
    for (const double it : weights) {
        all += it;
    }
    std::mt19937_64 random(workload_seed);
    int n = 0;
    for (std::size_t team = 0; team < weights.size(); ++team) {
        const double times = static_cast<int>(team) == flooding_team ? flood : usual_demand;
        const double cores = vms * vm_millicores / 1000.0 * weights[team] / all * times;
        for (const char* kind : kinds) {
            const bool urgent = std::string(kind) == "latency";
            // A third of the cores for urgent work; core-seconds a task: 1 and 8.
            std::exponential_distribution<double> gap(urgent ? cores / 3 : cores * 2 / 3 / 8);
            for (double t = gap(random); t < simulated_seconds; t += gap(random)) {
                const base::time_point when{duration_of(t)};
                cell.arrive_at(when, next_task(random, n++, static_cast<int>(team), kind, when));
            }
        }
    }
}

outcome run(std::unique_ptr<policy::scheduler> sched) {
    outcome result;
    event_loop_of_a_cell cell(set_up(std::move(sched), vms, weights));
    add_arrivals(cell);
    const auto counter = [&](const workload_task& one) -> count& {
        return result.by_team_and_kind[one.declared.team.str() + "_" + one.declared.kind.str()];
    };
    cell.on_ended = [&](const task_result& one) {
        const policy::task& task = one.task.declared;
        count& it = counter(one.task);
        ++it.accepted;
        it.in_time += !task.deadline || one.ended <= *task.deadline ? 1 : 0;
        result.core_seconds[static_cast<std::size_t>(task.team.str()[4] - '0')] +=
            seconds_of(one.task.run_time) * static_cast<double>(one.task.real.cores.value());
    };
    // Given up after it was accepted; a refusal on arrival was never accepted.
    cell.on_refused = [&](const workload_task& one, const base::refusal&) {
        if (cell.now() != one.declared.accepted) {
            ++counter(one).accepted;
        }
    };
    cell.run_until(base::time_point(duration_of(simulated_seconds)));
    result.over_memory = static_cast<double>(cell.starts_over_memory) /
                         static_cast<double>(std::max<std::size_t>(1, cell.starts));
    return result;
}

void report(const std::string& name, const outcome& one) {
    for (const auto& [who, it] : one.by_team_and_kind) {
        std::string label = "in_time_of_accepted_" + name;
        label.append("_").append(who);
        print(label, it.in_time / it.accepted, "");
    }
    double all_work = 0;
    double all_weights = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        all_work += one.core_seconds[i];
        all_weights += weights[i];
    }
    double sum = 0;
    double squares = 0;
    double worst = 1e9;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const double ratio = one.core_seconds[i] / all_work / (weights[i] / all_weights);
        sum += ratio;
        squares += ratio * ratio;
        worst = std::min(worst, ratio);
        std::string label = "work_to_entitlement_" + name;
        label.append("_team").append(std::to_string(i));
        print(label, ratio, "");
    }
    print("jain_index_" + name, sum * sum / (squares * static_cast<double>(weights.size())), "");
    print("worst_ratio_to_entitlement_" + name, worst, "");
    print("cores_in_use_" + name,
          all_work / 1000 / (vms * vm_millicores / 1000.0 * simulated_seconds), "");
    print("starts_over_real_memory_" + name, one.over_memory, "");
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    policy::scheduler_settings as_declared;
    as_declared.learn_sizes = false;
    report("cranberrydock", run(policy::make_scheduler()));
    report("as_declared", run(policy::make_scheduler(as_declared)));
    report("fifo", run(std::make_unique<baseline_scheduler>(baseline_order::fifo)));
}
