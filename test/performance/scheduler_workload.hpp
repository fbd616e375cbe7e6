// Shared parts of the scheduler's benchmarks: an event loop in simulated time that drives a
// scheduler directly, tasks with seeded sizes and run times, and the printing of results. This is
// no cluster simulator: a VM runs each placed task for the time that the workload defines, unless
// the scheduler stops it.
#pragma once

#include <cranberrydock/policy/scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cranberrydock::test {

constexpr std::uint64_t workload_seed = 20261204;

inline void print(const std::string& name, double value, const char* unit) {
    std::printf("%s %.4g %s\n", name.c_str(), value, unit);
}

// The quantile `q` of `values`; 0 if `values` is empty.
inline double quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    const auto n =
        static_cast<std::size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

inline double seconds_of(base::duration d) {
    return std::chrono::duration<double>(d).count();
}

inline base::duration duration_of(double seconds) {
    return base::duration(static_cast<base::duration::rep>(seconds * 1e6));
}

inline base::resources amounts(std::int64_t millicores, std::int64_t mebibytes,
                               std::int64_t slots = 1) {
    return {base::millicores(millicores), base::mebibytes(mebibytes), base::accelerator_count(0),
            base::slot_count(slots)};
}

// The VMs of the requirements: 64 GB and 16 cores each, 8 per rack.
constexpr std::int64_t vm_millicores = 16'000;
constexpr base::mebibytes vm_memory(65'536);
constexpr int vms_per_rack = 8;

inline policy::vm standard_vm(int n) {
    return {base::vm_id("vm" + std::to_string(n)),
            base::rack_name("r" + std::to_string(n / vms_per_rack)),
            amounts(vm_millicores, vm_memory.value(), 64), policy::vm_state::usable};
}

// The time from the start of a task until its VM reports the resources that the task uses.
constexpr base::duration report_lag = base::seconds(2);

inline base::team_id team_named(int n) {
    return base::team_id("team" + std::to_string(n));
}

// Configures a cell with one queue of each kind, one team for each weight, and `vms` VMs.
inline std::unique_ptr<policy::scheduler> set_up_cell(std::unique_ptr<policy::scheduler> sched,
                                                      int vms, const std::vector<double>& weights,
                                                      int first_vm = 0) {
    constexpr std::size_t max_queued = 10'000;
    sched->set_queues(
        {{base::queue_name("latency"), policy::queue_kind::latency, max_queued},
         {base::queue_name("must_finish"), policy::queue_kind::must_finish, max_queued},
         {base::queue_name("batch"), policy::queue_kind::batch, max_queued}});
    std::vector<policy::team_settings> rules;
    rules.reserve(weights.size());
    for (std::size_t i = 0; i < weights.size(); ++i) {
        rules.push_back({team_named(static_cast<int>(i)), weights[i], base::slot_count(1'000'000),
                         base::slot_count(0)});
    }
    sched->set_teams(rules);
    for (int i = 0; i < vms; ++i) {
        sched->set_vm(standard_vm(first_vm + i));
    }
    return sched;
}

// A task with its actual needs, which the scheduler learns only from reports.
struct workload_task {
    policy::task declared;
    base::resources real;
    base::duration run_time{0};
};

// The run of a task that has ended.
struct task_result {
    workload_task task;
    base::time_point started{};
    base::time_point ended{};
};

// Drives one scheduler through the arrivals and completions of tasks.
class cell_event_loop {
public:
    explicit cell_event_loop(std::unique_ptr<policy::scheduler> sched) : sched_(std::move(sched)) {}

    policy::scheduler& sched() { return *sched_; }

    // Called for each task that has ended, and for each that was refused or abandoned.
    std::function<void(const task_result&)> on_ended = [](const task_result&) {};
    std::function<void(const workload_task&, const base::refusal&)> on_refused =
        [](const workload_task&, const base::refusal&) {};
    // Called for each task that starts.
    std::function<void(const workload_task&, base::time_point)> on_started =
        [](const workload_task&, base::time_point) {};

    void arrive_at(base::time_point when, workload_task task) {
        events_.push({when, number_++, event::arrival, std::move(task), {}});
    }

    // Runs all events up to `until`, with one call of decide() per point in time.
    void run_until(base::time_point until) {
        while (!events_.empty() && events_.top().when <= until) {
            now_ = events_.top().when;
            while (!events_.empty() && events_.top().when == now_) {
                const event next_event = events_.top();
                events_.pop();
                handle(next_event);
            }
            decide();
        }
        now_ = until;
    }

    base::time_point now() const { return now_; }
    // Starts that took the actual memory use of a VM above its capacity, and all starts.
    std::size_t starts_over_memory = 0;
    std::size_t starts = 0;
    std::size_t stopped = 0;  // tasks that were stopped in favour of others

private:
    struct event {
        enum event_type { arrival, report, ending };

        base::time_point when;
        std::uint64_t number;
        event_type type;
        workload_task task;
        task_result result;
        base::vm_id vm{};
        std::size_t start = 0;  // the number of the start that this event ends

        friend bool operator<(const event& a, const event& b) {
            return std::tie(b.when, b.number) < std::tie(a.when, a.number);
        }
    };

    struct running_task {
        workload_task task;
        std::size_t start = 0;
    };

    void handle(const event& due_event) {
        switch (due_event.type) {
            case event::arrival:
                arrive(due_event.task);
                break;
            case event::report:
                sched_->report_usage(due_event.result.task.declared.id, due_event.result.task.real);
                break;
            case event::ending:
                end(due_event);
                break;
        }
    }

    void arrive(const workload_task& arrived) {
        const auto accepted = sched_->enqueue(arrived.declared, now_);
        if (!accepted) {
            on_refused(arrived, accepted.error());
            return;
        }
        queued_.emplace(arrived.declared.id, arrived);
    }

    void end(const event& completion) {
        const workload_task& task = completion.result.task;
        const auto found = running_.find(task.declared.id);
        if (found == running_.end() || found->second.start != completion.start) {
            return;  // the task was stopped in the meantime
        }
        running_.erase(found);
        memory_in_use_[completion.vm] -= task.real.memory;
        sched_->record_completion(
            {task.declared.id, policy::completion_kind::completed, task.real, task.run_time}, now_);
        on_ended(completion.result);
    }

    void decide() {
        constexpr std::size_t no_limit = 1'000'000;
        for (const policy::decision& it : sched_->decide(now_, no_limit)) {
            if (const auto* place = std::get_if<policy::placement>(&it)) {
                start(*place);
            } else if (const auto* abandoned = std::get_if<policy::abandonment>(&it)) {
                const auto task = queued_.find(abandoned->task);
                on_refused(task->second, abandoned->refusal);
                queued_.erase(task);
            } else {
                stop(std::get<policy::preemption>(it));
            }
        }
    }

    // A stopped task is queued again and starts from the beginning.
    void stop(const policy::preemption& preempted) {
        const auto it = running_.find(preempted.task);
        const workload_task task = it->second.task;
        memory_in_use_[preempted.vm] -= task.real.memory;
        running_.erase(it);
        ++stopped;
        sched_->record_completion({preempted.task, policy::completion_kind::stopped, {}, {}}, now_);
        arrive(task);
    }

    void start(const policy::placement& place) {
        const auto it = queued_.find(place.task);
        const workload_task task = it->second;
        queued_.erase(it);
        ++starts;
        memory_in_use_[place.vm] += task.real.memory;
        starts_over_memory += memory_in_use_[place.vm] > vm_memory ? 1 : 0;
        on_started(task, now_);
        const base::time_point end = now_ + task.run_time;
        if (task.run_time > report_lag) {
            events_.push(
                {now_ + report_lag, number_++, event::report, {}, {task, now_, end}, {}, 0});
        }
        running_[place.task] = {task, starts};
        events_.push({end, number_++, event::ending, {}, {task, now_, end}, place.vm, starts});
    }

    std::unique_ptr<policy::scheduler> sched_;
    std::priority_queue<event> events_;
    std::unordered_map<base::task_id, workload_task> queued_;
    base::time_point now_{};
    std::uint64_t number_ = 0;
    std::unordered_map<base::task_id, running_task> running_;
    std::unordered_map<base::vm_id, base::mebibytes> memory_in_use_;
};

}  // namespace cranberrydock::test
