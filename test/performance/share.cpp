// Measures shares under overload. There are six customers: two are large, and one of the small ones
// sends far more than its share. Every declared size is wrong by a factor of 0.2 to 5. Results are
// the requests completed in time relative to those accepted, per team and kind, and the work done
// relative to the entitlement of each team; with and without learned sizes, and for one queue in
// order of arrival.
#include "baseline_scheduler.hpp"
#include "scheduler_workload.hpp"

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
constexpr double flooding_demand = 10;  // times what the team is entitled to
constexpr double usual_demand = 1.5;    // times what a team is entitled to
const char* const kinds[] = {"latency", "must_finish"};

struct count {
    double accepted = 0;
    double in_time = 0;
};

struct outcome {
    std::map<std::string, count> by_team_and_kind;
    std::vector<double> core_seconds = std::vector<double>(weights.size(), 0);
    double over_memory = 0;  // fraction of the starts that took a VM above its memory
};

// A task with the actual sizes of its kind. The declared sizes are wrong by one factor, which is
// uniformly distributed on a logarithmic scale.
workload_task next_task(std::mt19937_64& random, int n, int team, const char* kind,
                        base::time_point when) {
    workload_task next;
    next.declared.id = base::task_id("t" + std::to_string(n));
    next.declared.job = base::job_id("j" + std::to_string(n));
    next.declared.team = team_named(team);
    next.declared.queue = base::queue_name(kind);
    next.declared.kind = base::kind_name(kind);
    next.declared.accepted = when;
    const bool urgent = std::string(kind) == "latency";
    std::uniform_real_distribution<double> vary(0.8, 1.2);
    const double cores = (urgent ? 1000 : 2000) * vary(random);
    const double memory = (urgent ? 3000 : 6000) * vary(random);
    next.real = amounts(static_cast<std::int64_t>(cores), static_cast<std::int64_t>(memory));
    const double error_factor =
        std::exp(std::uniform_real_distribution<double>(std::log(0.2), std::log(5.0))(random));
    next.declared.need = amounts(static_cast<std::int64_t>(cores * error_factor),
                                 static_cast<std::int64_t>(memory * error_factor));
    const double run = (urgent ? 1 : 4) * vary(random);
    next.run_time = duration_of(run);
    next.declared.expected_time = duration_of(run * error_factor);
    if (urgent) {
        next.declared.deadline = when + duration_of(5.9);
    }
    return next;
}

void add_arrivals(cell_event_loop& cell) {
    double total_weight = 0;
    for (const double it : weights) {
        total_weight += it;
    }
    std::mt19937_64 random(workload_seed);
    int n = 0;
    for (std::size_t team = 0; team < weights.size(); ++team) {
        const double demand =
            static_cast<int>(team) == flooding_team ? flooding_demand : usual_demand;
        const double cores = vms * vm_millicores / 1000.0 * weights[team] / total_weight * demand;
        for (const char* kind : kinds) {
            const bool urgent = std::string(kind) == "latency";
            // A third of the cores is for urgent work. Core-seconds per task: 1 and 8.
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
    cell_event_loop cell(set_up_cell(std::move(sched), vms, weights));
    add_arrivals(cell);
    const auto counter = [&](const workload_task& counted) -> count& {
        return result
            .by_team_and_kind[counted.declared.team.str() + "_" + counted.declared.kind.str()];
    };
    cell.on_ended = [&](const task_result& ended_task) {
        const policy::task& task = ended_task.task.declared;
        count& it = counter(ended_task.task);
        ++it.accepted;
        it.in_time += !task.deadline || ended_task.ended <= *task.deadline ? 1 : 0;
        result.core_seconds[static_cast<std::size_t>(task.team.str()[4] - '0')] +=
            seconds_of(ended_task.task.run_time) *
            static_cast<double>(ended_task.task.real.cores.value());
    };
    // Counts tasks that were accepted and abandoned later, but not those refused on arrival.
    cell.on_refused = [&](const workload_task& refused_task, const base::refusal&) {
        if (cell.now() != refused_task.declared.accepted) {
            ++counter(refused_task).accepted;
        }
    };
    cell.run_until(base::time_point(duration_of(simulated_seconds)));
    result.over_memory = static_cast<double>(cell.starts_over_memory) /
                         static_cast<double>(std::max<std::size_t>(1, cell.starts));
    return result;
}

void report(const std::string& name, const outcome& measured) {
    for (const auto& [team_and_kind, it] : measured.by_team_and_kind) {
        std::string label = "in_time_of_accepted_" + name;
        label.append("_").append(team_and_kind);
        print(label, it.in_time / it.accepted, "");
    }
    double all_work = 0;
    double all_weights = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        all_work += measured.core_seconds[i];
        all_weights += weights[i];
    }
    double sum = 0;
    double squares = 0;
    double worst = 1e9;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const double ratio = measured.core_seconds[i] / all_work / (weights[i] / all_weights);
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
    print("starts_over_real_memory_" + name, measured.over_memory, "");
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    policy::scheduler_settings as_declared;
    as_declared.learn_task_sizes = false;
    report("cranberrydock", run(policy::make_scheduler()));
    report("as_declared", run(policy::make_scheduler(as_declared)));
    report("fifo", run(std::make_unique<baseline_scheduler>(baseline_order::fifo)));
}
