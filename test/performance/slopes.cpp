// What each event costs the scheduler of one cell at the long-term size: 322 VMs, 260 teams, 6,350
// running tasks, a queue. Processor time per event and memory per task, VM and team, for the
// capacity page; each as a slope that can be multiplied by a rate or a count.
#include "workload.hpp"

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

// Microseconds of processor time that `work` takes, divided by `n`.
template <typename Work>
double microseconds_each(int n, Work work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    return took.count() / n;
}

policy::task any_task(std::mt19937_64& random, int n) {
    policy::task one;
    one.id = base::task_id("task-0123456789-" + std::to_string(n));  // as long as real ones
    one.job = base::job_id("job-0123456789-" + std::to_string(n));
    one.team = team_named(static_cast<int>(random() % teams));
    one.queue = base::queue_name("must_finish");
    one.kind = base::kind_name("mosaic");
    one.need = amounts(500, 2048);
    return one;
}

std::vector<policy::team_rules> rules(int changed) {
    std::vector<policy::team_rules> result;
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
    const double at_start = heap_bytes();
    const auto sched = set_up(policy::make_scheduler(), 0, std::vector<double>(teams, 1.0));
    const double with_teams = heap_bytes();
    print("bytes_per_team", (with_teams - at_start) / teams, "B");

    print("put_vm",
          microseconds_each(vms,
                            [&] {
                                for (int i = 0; i < vms; ++i) {
                                    sched->put_vm(standard_vm(i));
                                }
                            }),
          "us");
    sched->decide({}, 1);
    const double with_vms = heap_bytes();
    print("bytes_per_vm", (with_vms - with_teams) / vms, "B");

    std::vector<policy::task> tasks;
    tasks.reserve(running);
    for (int i = 0; i < running; ++i) {
        tasks.push_back(any_task(random, i));
    }
    const double before_running = heap_bytes();
    print("adopt_a_task",
          microseconds_each(running,
                            [&] {
                                for (int i = 0; i < running; ++i) {
                                    const auto& one = tasks[static_cast<std::size_t>(i)];
                                    sched->adopt(one, standard_vm(i % vms).id, one.need);
                                }
                            }),
          "us");
    print("bytes_per_running_task", (heap_bytes() - before_running) / running, "B");

    std::vector<policy::task> waiting;
    waiting.reserve(queued);
    for (int i = 0; i < queued; ++i) {
        waiting.push_back(any_task(random, running + i));
    }
    const double before_queued = heap_bytes();
    print("enqueue",
          microseconds_each(queued,
                            [&] {
                                for (const policy::task& one : waiting) {
                                    sched->enqueue(one, {});
                                }
                            }),
          "us");
    print("bytes_per_queued_task", (heap_bytes() - before_queued) / queued, "B");

    constexpr int times = 1000;
    sched->decide({}, 100'000);
    print("decide_with_nothing_to_do",
          microseconds_each(times,
                            [&] {
                                for (int i = 0; i < times; ++i) {
                                    sched->decide({}, 1000);
                                }
                            }),
          "us");
    print("report_usage",
          microseconds_each(running,
                            [&] {
                                for (const policy::task& one : tasks) {
                                    sched->report_usage(one.id, one.need);
                                }
                            }),
          "us");
    print("put_vm_that_changes_capacity_and_decide",
          microseconds_each(times,
                            [&] {
                                for (int i = 0; i < times; ++i) {
                                    policy::vm one = standard_vm(i % vms);
                                    one.capacity.memory += base::mebibytes(i % 2);
                                    sched->put_vm(one);
                                    sched->decide({}, 1000);
                                }
                            }),
          "us");
    print("set_teams_with_one_change_and_decide",
          microseconds_each(times,
                            [&] {
                                for (int i = 0; i < times; ++i) {
                                    sched->set_teams(rules(i % teams));
                                    sched->decide({}, 1000);
                                }
                            }),
          "us");
    print("loads_of_all_teams",
          microseconds_each(times,
                            [&] {
                                for (int i = 0; i < times; ++i) {
                                    sched->loads();
                                }
                            }),
          "us");
    print("cancel",
          microseconds_each(queued,
                            [&] {
                                for (const policy::task& one : waiting) {
                                    sched->cancel(one.id);
                                }
                            }),
          "us");
}
