// Waiting time of urgent work beside paid and batch work, at 0.7, 0.95 and 3 times the capacity of
// a cell of 50 VMs, against one queue in order of arrival and against strict priority.
#include "baseline_scheduler.hpp"
#include "workload.hpp"

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 50;
constexpr int teams = 6;
constexpr double simulated_seconds = 120;
constexpr double urgent_deadline = 5.9;  // seconds

struct traffic {
    const char* queue;
    double part;      // of the offered load
    double mean_run;  // seconds
    std::int64_t mean_cores;
};

// A large cell mixes them: previews and plans, mosaics and costings, masking batches.
const traffic mix[] = {{"latency", 0.3, 1, 1}, {"must_finish", 0.2, 4, 2}, {"batch", 0.5, 15, 2}};

struct outcome {
    std::vector<double> urgent_waits;  // seconds, of those that started
    double urgent_arrived = 0;
    double urgent_in_time = 0;
    double batch_ended = 0;
    double must_finish_ended = 0;
};

workload_task next_task(const traffic& what, std::mt19937_64& random, base::time_point when,
                        int n) {
    workload_task one;
    one.declared.id = base::task_id(what.queue + std::to_string(n));
    one.declared.job = base::job_id(one.declared.id.str());
    one.declared.team = base::team_id("team" + std::to_string(random() % teams));
    one.declared.queue = base::queue_name(what.queue);
    one.declared.kind = base::kind_name(what.queue);
    one.declared.accepted = when;
    const auto cores = static_cast<std::int64_t>(
        500 + random() % static_cast<std::uint64_t>(what.mean_cores * 2000 - 1000));
    one.declared.need = amounts(cores, 1024 + static_cast<std::int64_t>(random() % 4096));
    one.real = one.declared.need;
    one.run_time = duration_of(std::exponential_distribution<double>(1 / what.mean_run)(random)) +
                   base::milliseconds(10);
    if (std::string(what.queue) == "latency") {
        one.declared.deadline = when + duration_of(urgent_deadline);
    }
    return one;
}

void add_arrivals(event_loop_of_a_cell& cell, double load) {
    int n = 0;
    for (const traffic& what : mix) {
        std::mt19937_64 random(workload_seed + static_cast<std::uint64_t>(what.mean_run));
        const double capacity = vms * vm_millicores / 1000.0;
        const double rate =
            load * what.part * capacity / (what.mean_run * static_cast<double>(what.mean_cores));
        std::exponential_distribution<double> gap(rate);
        for (double t = gap(random); t < simulated_seconds; t += gap(random)) {
            const base::time_point when{duration_of(t)};
            cell.arrive_at(when, next_task(what, random, when, n++));
        }
    }
}

outcome run(std::unique_ptr<policy::scheduler> sched, double load) {
    outcome result;
    event_loop_of_a_cell cell(set_up(std::move(sched), vms, std::vector<double>(teams, 1.0)));
    add_arrivals(cell, load);
    cell.on_started = [&](const workload_task& one, base::time_point now) {
        if (one.declared.deadline) {
            result.urgent_waits.push_back(seconds_of(now - one.declared.accepted));
        }
    };
    cell.on_ended = [&](const task_result& one) {
        const policy::task& task = one.task.declared;
        result.batch_ended += task.queue.str() == "batch" ? 1 : 0;
        result.must_finish_ended += task.queue.str() == "must_finish" ? 1 : 0;
        result.urgent_arrived += task.deadline ? 1 : 0;
        result.urgent_in_time += task.deadline && one.ended <= *task.deadline ? 1 : 0;
    };
    cell.on_refused = [&](const workload_task& one, const base::refusal&) {
        result.urgent_arrived += one.declared.deadline ? 1 : 0;
    };
    cell.run_until(base::time_point(duration_of(simulated_seconds)));
    return result;
}

void report(const std::string& name, double load, const outcome& one) {
    char at[32];
    std::snprintf(at, sizeof at, "_%s_at_%.2f", name.c_str(), load);
    print(std::string("urgent_wait_p50") + at, quantile(one.urgent_waits, 0.5) * 1e3, "ms");
    print(std::string("urgent_wait_p99") + at, quantile(one.urgent_waits, 0.99) * 1e3, "ms");
    print(std::string("urgent_in_time_of_decided") + at,
          one.urgent_in_time / std::max(1.0, one.urgent_arrived), "");
    print(std::string("urgent_in_time_per_second") + at, one.urgent_in_time / simulated_seconds,
          "1/s");
    print(std::string("must_finish_ended_per_second") + at,
          one.must_finish_ended / simulated_seconds, "1/s");
    print(std::string("batch_ended_per_second") + at, one.batch_ended / simulated_seconds, "1/s");
}

// Long batch of one team fills the cell; urgent work of the other teams comes half a minute later.
void report_behind_long_batch(const std::string& name, const policy::scheduler_settings& settings) {
    constexpr int long_tasks = 2000;
    constexpr double long_run = 600;    // seconds
    constexpr double urgent_from = 30;  // seconds
    constexpr double urgent_per_second = 150;
    std::vector<double> waits;
    double in_time = 0;
    double arrived = 0;
    event_loop_of_a_cell cell(
        set_up(policy::make_scheduler(settings), vms, std::vector<double>(teams, 1.0)));
    std::mt19937_64 random(workload_seed);
    int n = 0;
    for (int i = 0; i < long_tasks; ++i) {
        workload_task one = next_task(mix[2], random, {}, n++);
        one.declared.team = team_named(0);
        one.run_time = duration_of(long_run);
        cell.arrive_at({}, std::move(one));
    }
    std::exponential_distribution<double> gap(urgent_per_second);
    for (double t = urgent_from; t < simulated_seconds - 10; t += gap(random)) {
        const base::time_point when{duration_of(t)};
        workload_task one = next_task(mix[0], random, when, n++);
        one.declared.team = team_named(1 + static_cast<int>(random() % (teams - 1)));
        cell.arrive_at(when, std::move(one));
        ++arrived;
    }
    cell.on_started = [&](const workload_task& one, base::time_point now) {
        if (one.declared.deadline) {
            waits.push_back(seconds_of(now - one.declared.accepted));
        }
    };
    cell.on_ended = [&](const task_result& one) {
        const auto& deadline = one.task.declared.deadline;
        in_time += deadline && one.ended <= *deadline ? 1 : 0;
    };
    cell.run_until(base::time_point(duration_of(simulated_seconds)));
    print("urgent_wait_p50_behind_long_batch_" + name, quantile(waits, 0.5) * 1e3, "ms");
    print("urgent_wait_p99_behind_long_batch_" + name, quantile(waits, 0.99) * 1e3, "ms");
    print("urgent_in_time_of_arrived_behind_long_batch_" + name, in_time / arrived, "");
    print("batch_stopped_" + name, static_cast<double>(cell.stopped), "tasks");
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    policy::scheduler_settings never_stops;
    never_stops.most_stopping = 0;
    report_behind_long_batch("cranberrydock", {});
    report_behind_long_batch("never_stopping", never_stops);
    for (const double load : {0.7, 0.95, 3.0}) {
        report("cranberrydock", load, run(policy::make_scheduler(), load));
        report("fifo", load, run(std::make_unique<baseline_scheduler>(baseline_order::fifo), load));
        report("strict", load,
               run(std::make_unique<baseline_scheduler>(baseline_order::strict_priority), load));
    }
}
