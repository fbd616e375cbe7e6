// Measures the waiting time of urgent work beside paid and batch work, at 0.7, 0.95 and 3 times the
// capacity of a cell of 50 VMs, against one queue in order of arrival and against strict priority.
#include "baseline_scheduler.hpp"
#include "scheduler_workload.hpp"

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
    double load_fraction;  // of the offered load
    double mean_run;       // seconds
    std::int64_t mean_cores;
};

// The mix of a large cell: previews and plans, mosaics and cost estimates, masking batches.
const traffic mix[] = {{"latency", 0.3, 1, 1}, {"must_finish", 0.2, 4, 2}, {"batch", 0.5, 15, 2}};

struct outcome {
    std::vector<double> urgent_waits;  // seconds, of the urgent tasks that started
    double urgent_arrived = 0;
    double urgent_in_time = 0;
    double batch_ended = 0;
    double must_finish_ended = 0;
};

workload_task next_task(const traffic& source, std::mt19937_64& random, base::time_point when,
                        int n) {
    workload_task next;
    next.declared.id = base::task_id(source.queue + std::to_string(n));
    next.declared.job = base::job_id(next.declared.id.str());
    next.declared.team = base::team_id("team" + std::to_string(random() % teams));
    next.declared.queue = base::queue_name(source.queue);
    next.declared.kind = base::kind_name(source.queue);
    next.declared.accepted = when;
    const auto cores = static_cast<std::int64_t>(
        500 + random() % static_cast<std::uint64_t>(source.mean_cores * 2000 - 1000));
    next.declared.need = amounts(cores, 1024 + static_cast<std::int64_t>(random() % 4096));
    next.real = next.declared.need;
    next.run_time =
        duration_of(std::exponential_distribution<double>(1 / source.mean_run)(random)) +
        base::milliseconds(10);
    if (std::string(source.queue) == "latency") {
        next.declared.deadline = when + duration_of(urgent_deadline);
    }
    return next;
}

void add_arrivals(cell_event_loop& cell, double load) {
    int n = 0;
    for (const traffic& source : mix) {
        std::mt19937_64 random(workload_seed + static_cast<std::uint64_t>(source.mean_run));
        const double capacity = vms * vm_millicores / 1000.0;
        const double rate = load * source.load_fraction * capacity /
                            (source.mean_run * static_cast<double>(source.mean_cores));
        std::exponential_distribution<double> gap(rate);
        for (double t = gap(random); t < simulated_seconds; t += gap(random)) {
            const base::time_point when{duration_of(t)};
            cell.arrive_at(when, next_task(source, random, when, n++));
        }
    }
}

outcome run(std::unique_ptr<policy::scheduler> sched, double load) {
    outcome result;
    cell_event_loop cell(set_up_cell(std::move(sched), vms, std::vector<double>(teams, 1.0)));
    add_arrivals(cell, load);
    cell.on_started = [&](const workload_task& started_task, base::time_point now) {
        if (started_task.declared.deadline) {
            result.urgent_waits.push_back(seconds_of(now - started_task.declared.accepted));
        }
    };
    cell.on_ended = [&](const task_result& ended_task) {
        const policy::task& task = ended_task.task.declared;
        result.batch_ended += task.queue.str() == "batch" ? 1 : 0;
        result.must_finish_ended += task.queue.str() == "must_finish" ? 1 : 0;
        result.urgent_arrived += task.deadline ? 1 : 0;
        result.urgent_in_time += task.deadline && ended_task.ended <= *task.deadline ? 1 : 0;
    };
    cell.on_refused = [&](const workload_task& refused_task, const base::refusal&) {
        result.urgent_arrived += refused_task.declared.deadline ? 1 : 0;
    };
    cell.run_until(base::time_point(duration_of(simulated_seconds)));
    return result;
}

void report(const std::string& name, double load, const outcome& measured) {
    char suffix[32];
    std::snprintf(suffix, sizeof suffix, "_%s_at_%.2f", name.c_str(), load);
    print(std::string("urgent_wait_p50") + suffix, quantile(measured.urgent_waits, 0.5) * 1e3,
          "ms");
    print(std::string("urgent_wait_p99") + suffix, quantile(measured.urgent_waits, 0.99) * 1e3,
          "ms");
    print(std::string("urgent_in_time_of_decided") + suffix,
          measured.urgent_in_time / std::max(1.0, measured.urgent_arrived), "");
    print(std::string("urgent_in_time_per_second") + suffix,
          measured.urgent_in_time / simulated_seconds, "1/s");
    print(std::string("must_finish_ended_per_second") + suffix,
          measured.must_finish_ended / simulated_seconds, "1/s");
    print(std::string("batch_ended_per_second") + suffix, measured.batch_ended / simulated_seconds,
          "1/s");
}

// Long batch tasks of one team fill the cell. Urgent work of the other teams arrives from 30 s on.
void report_behind_long_batch(const std::string& name, const policy::scheduler_settings& settings) {
    constexpr int long_tasks = 2000;
    constexpr double long_run = 600;    // seconds
    constexpr double urgent_from = 30;  // seconds
    constexpr double urgent_per_second = 150;
    std::vector<double> waits;
    double in_time = 0;
    double arrived = 0;
    cell_event_loop cell(
        set_up_cell(policy::make_scheduler(settings), vms, std::vector<double>(teams, 1.0)));
    std::mt19937_64 random(workload_seed);
    int n = 0;
    for (int i = 0; i < long_tasks; ++i) {
        workload_task sent_task = next_task(mix[2], random, {}, n++);
        sent_task.declared.team = team_named(0);
        sent_task.run_time = duration_of(long_run);
        cell.arrive_at({}, std::move(sent_task));
    }
    std::exponential_distribution<double> gap(urgent_per_second);
    for (double t = urgent_from; t < simulated_seconds - 10; t += gap(random)) {
        const base::time_point when{duration_of(t)};
        workload_task sent_task = next_task(mix[0], random, when, n++);
        sent_task.declared.team = team_named(1 + static_cast<int>(random() % (teams - 1)));
        cell.arrive_at(when, std::move(sent_task));
        ++arrived;
    }
    cell.on_started = [&](const workload_task& started_task, base::time_point now) {
        if (started_task.declared.deadline) {
            waits.push_back(seconds_of(now - started_task.declared.accepted));
        }
    };
    cell.on_ended = [&](const task_result& ended_task) {
        const auto& deadline = ended_task.task.declared.deadline;
        in_time += deadline && ended_task.ended <= *deadline ? 1 : 0;
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
    never_stops.max_concurrent_preemptions = 0;
    report_behind_long_batch("cranberrydock", {});
    report_behind_long_batch("never_stopping", never_stops);
    for (const double load : {0.7, 0.95, 3.0}) {
        report("cranberrydock", load, run(policy::make_scheduler(), load));
        report("fifo", load, run(std::make_unique<baseline_scheduler>(baseline_order::fifo), load));
        report("strict", load,
               run(std::make_unique<baseline_scheduler>(baseline_order::strict_priority), load));
    }
}
