// Measures the cost of each event for the scheduler of one cell at the long-term size: 322 VMs, 260
// teams, 6,350 running tasks and a queue. Results are processor time per event and memory per task,
// VM and team, each as a slope that the capacity page multiplies by a rate or a count.
#include "scheduler_workload.hpp"

#include <malloc.h>

namespace base = cranberrydock::base;
namespace policy = cranberrydock::policy;
using namespace cranberrydock::test;

namespace {

constexpr int vms = 322;
constexpr int teams = 260;
constexpr int running = 6350;
constexpr int queued = 10'000;

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

// The time in microseconds that `work` takes, divided by `n`. The work keeps one thread busy, so
// the time counts as processor time.
template <typename Work>
double microseconds_per_event(int n, Work work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / n;
}

policy::task any_task(std::mt19937_64& random, int n) {
    policy::task next;
    next.id = base::task_id("task-0123456789-" + std::to_string(n));  // as long as real ids
    next.job = base::job_id("job-0123456789-" + std::to_string(n));
    next.team = team_named(static_cast<int>(random() % teams));
    next.queue = base::queue_name("must_finish");
    next.kind = base::kind_name("mosaic");
    next.need = amounts(500, 2048);
    return next;
}

std::vector<policy::team_settings> rules(int changed) {
    std::vector<policy::team_settings> result;
    result.reserve(teams);
    for (int i = 0; i < teams; ++i) {
        result.push_back({team_named(i), i == changed ? 2.0 : 1.0, base::slot_count(1'000'000),
                          base::slot_count(10)});
    }
    return result;
}

}  // namespace

int main() {
    print("seed", static_cast<double>(workload_seed), "");
    std::mt19937_64 random(workload_seed);
    const double bytes_at_start = heap_bytes();
    const auto sched = set_up_cell(policy::make_scheduler(), 0, std::vector<double>(teams, 1.0));
    const double bytes_with_teams = heap_bytes();
    print("bytes_per_team", (bytes_with_teams - bytes_at_start) / teams, "B");

    print("put_vm",
          microseconds_per_event(vms,
                                 [&] {
                                     for (int i = 0; i < vms; ++i) {
                                         sched->set_vm(standard_vm(i));
                                     }
                                 }),
          "us");
    sched->decide({}, 1);
    const double bytes_with_vms = heap_bytes();
    print("bytes_per_vm", (bytes_with_vms - bytes_with_teams) / vms, "B");

    std::vector<policy::task> tasks;
    tasks.reserve(running);
    for (int i = 0; i < running; ++i) {
        tasks.push_back(any_task(random, i));
    }
    const double bytes_before_running = heap_bytes();
    print("adopt_a_task",
          microseconds_per_event(
              running,
              [&] {
                  for (int i = 0; i < running; ++i) {
                      const auto& running_task = tasks[static_cast<std::size_t>(i)];
                      sched->adopt(running_task, standard_vm(i % vms).id, running_task.need);
                  }
              }),
          "us");
    print("bytes_per_running_task", (heap_bytes() - bytes_before_running) / running, "B");

    std::vector<policy::task> waiting;
    waiting.reserve(queued);
    for (int i = 0; i < queued; ++i) {
        waiting.push_back(any_task(random, running + i));
    }
    const double bytes_before_queued = heap_bytes();
    print("enqueue",
          microseconds_per_event(queued,
                                 [&] {
                                     for (const policy::task& waiting_task : waiting) {
                                         sched->enqueue(waiting_task, {});
                                     }
                                 }),
          "us");
    print("bytes_per_queued_task", (heap_bytes() - bytes_before_queued) / queued, "B");

    constexpr int repetitions = 1000;
    sched->decide({}, 100'000);
    print("decide_with_nothing_to_do",
          microseconds_per_event(repetitions,
                                 [&] {
                                     for (int i = 0; i < repetitions; ++i) {
                                         sched->decide({}, 1000);
                                     }
                                 }),
          "us");
    print("report_usage",
          microseconds_per_event(running,
                                 [&] {
                                     for (const policy::task& running_task : tasks) {
                                         sched->report_usage(running_task.id, running_task.need);
                                     }
                                 }),
          "us");
    print("put_vm_that_changes_capacity_and_decide",
          microseconds_per_event(repetitions,
                                 [&] {
                                     for (int i = 0; i < repetitions; ++i) {
                                         policy::vm changed_vm = standard_vm(i % vms);
                                         changed_vm.capacity.memory += base::mebibytes(i % 2);
                                         sched->set_vm(changed_vm);
                                         sched->decide({}, 1000);
                                     }
                                 }),
          "us");
    print("set_teams_with_one_change_and_decide",
          microseconds_per_event(repetitions,
                                 [&] {
                                     for (int i = 0; i < repetitions; ++i) {
                                         sched->set_teams(rules(i % teams));
                                         sched->decide({}, 1000);
                                     }
                                 }),
          "us");
    print("loads_of_all_teams",
          microseconds_per_event(repetitions,
                                 [&] {
                                     for (int i = 0; i < repetitions; ++i) {
                                         sched->loads();
                                     }
                                 }),
          "us");
    print("cancel",
          microseconds_per_event(queued,
                                 [&] {
                                     for (const policy::task& waiting_task : waiting) {
                                         sched->cancel(waiting_task.id);
                                     }
                                 }),
          "us");
}
