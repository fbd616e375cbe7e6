// For any order of reports, lost answers, lost and restarted VMs and jobs that are read late: no
// task is started while a VM that is on record has confirmed or listed a run of it.
#include <cranberrydock/fleet/scheduler.hpp>

#include "standins/fleet_test_data.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using namespace cranberrydock::standins;
using base::milliseconds;

constexpr int vm_count = 3;
constexpr int job_count = 3;
constexpr int tasks_per_job = 2;
constexpr int attempts = 1'000;

int draw_below(int limit) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

using run_map = std::map<fleet::task_ref, fleet::run_number>;

struct machine {
    fleet::vm_info facts;
    run_map running;
    std::vector<fleet::task_completion> completions;
    int last_completion = 0;
    // What the owner has learned: runs that were confirmed or listed, and not ended since.
    run_map known;
    std::vector<fleet::start_decision> unanswered;
};

class fleet_with_leftover_runs {
public:
    fleet_with_leftover_runs() {
        auto configuration = two_queue_configuration();
        for (auto& it : configuration.queues) {
            it.terms.max_attempts = attempts;
        }
        owner_.configure(std::make_shared<const fleet::fleet_configuration>(configuration));
        for (int i = 0; i < vm_count; ++i) {
            machine added;
            added.facts.id = fleet::vm_id("vm-" + std::to_string(i));
            added.facts.service = fleet::service_name("svc");
            added.facts.capacity = vm_capacity_of(16'000);
            owner_.vm_listed(added.facts);
            vms_.push_back(added);
        }
        owner_.inherited_runs_reported(now_);
    }

    void step() {
        now_.steady += milliseconds(1 + draw_below(300));
        machine& vm = vms_[static_cast<std::size_t>(draw_below(vm_count))];
        switch (draw_below(12)) {
            case 0:
                add_job(draw_below(job_count));
                break;
            case 1:
            case 2:
                leave_run(vm);
                break;
            case 3:
            case 4:
                end_run(vm);
                break;
            case 5:
                lose(vm);
                break;
            case 6:
                restart(vm);
                break;
            case 7:
                answer_starts(vm);
                break;
            default:
                report(vm);
                break;
        }
        decide();
    }

    int starts() const { return starts_; }

private:
    static fleet::task_ref some_task() {
        return {fleet::job_id("job-" + std::to_string(draw_below(job_count))), 0, 0,
                draw_below(tasks_per_job)};
    }

    // The first job is a gang.
    void add_job(int number) {
        auto tasks = make_step(tasks_per_job, 1'000);
        tasks.gang = number == 0;
        auto job = make_job("job-" + std::to_string(number), "urgent", {tasks});
        job.terms.max_attempts = attempts;
        owner_.add_job(job, nullptr, true, now_);
    }

    // A run that a previous owner has started becomes known only now.
    static void leave_run(machine& vm) {
        vm.running.emplace(some_task(), fleet::run_number(1 + draw_below(50)));
    }

    static void end_run(machine& vm) {
        if (vm.running.empty()) {
            return;
        }
        const auto it =
            std::next(vm.running.begin(), draw_below(static_cast<int>(vm.running.size())));
        const auto kind =
            draw_below(2) == 0 ? fleet::completion_kind::failed : fleet::completion_kind::stopped;
        vm.completions.push_back(
            {fleet::completion_number(++vm.last_completion), it->first, it->second, kind, {}});
        vm.running.erase(it);
    }

    void lose(machine& vm) {
        vm.running.clear();
        vm.known.clear();
        vm.unanswered.clear();
        owner_.vm_lost(vm.facts.id, "lease_lapsed", {}, now_);
        owner_.vm_listed(vm.facts);
    }

    void restart(machine& vm) {
        vm.running.clear();
        vm.known.clear();
        vm.completions.clear();
        vm.last_completion = 0;
        owner_.vm_restarted(vm.facts.id);
    }

    void report(machine& vm) {
        fleet::vm_report report;
        report.completions = vm.completions;
        for (const auto& it : vm.running) {
            report.running.push_back({it.first, it.second, {}, 0});
        }
        vm.known = vm.running;
        owner_.vm_reported(vm.facts.id, report, now_.steady, now_);
    }

    void answer_starts(machine& vm) {
        const auto starts = std::exchange(vm.unanswered, {});
        for (const auto& it : starts) {
            const auto run = vm.running.find(it.task);
            const bool runs = run != vm.running.end() && run->second == it.run;
            tl::expected<fleet::vm_time, fleet::command_failure> answer = fleet::vm_time(1);
            if (draw_below(3) == 0) {
                answer = tl::make_unexpected(fleet::command_failure::answer_lost);
            } else if (runs) {
                vm.known[it.task] = it.run;
            } else {
                answer = tl::make_unexpected(fleet::command_failure::superseded);
            }
            owner_.start_answered(vm.facts.id, it.task, it.run, answer, now_);
        }
    }

    machine& find(const fleet::vm_id& id) {
        return *std::find_if(vms_.begin(), vms_.end(),
                             [&](const auto& it) { return it.facts.id == id; });
    }

    void decide() {
        const auto decided = owner_.decide(now_, {});
        for (const auto& it : decided.stops) {
            machine& vm = find(it.vm);
            const auto run = vm.running.find(it.task);
            const bool is_lost = draw_below(3) == 0;
            if (!is_lost && run != vm.running.end() && run->second <= it.run) {
                vm.completions.push_back({fleet::completion_number(++vm.last_completion),
                                          it.task,
                                          run->second,
                                          fleet::completion_kind::stopped,
                                          {}});
                vm.running.erase(run);
            }
            tl::expected<fleet::vm_time, fleet::command_failure> answer = fleet::vm_time(1);
            if (is_lost) {
                answer = tl::make_unexpected(fleet::command_failure::answer_lost);
            }
            owner_.stop_answered(it.vm, it.task, it.run, answer, now_);
        }
        for (const auto& it : decided.starts) {
            ++starts_;
            for (const auto& vm : vms_) {
                const auto known = vm.known.find(it.task);
                const bool is_other =
                    known != vm.known.end() && (vm.facts.id != it.vm || known->second != it.run);
                if (is_other) {
                    RC_FAIL(fleet::to_string(it.task) + " is started on " + it.vm.str() + " as " +
                            std::to_string(it.run.value()) + " beside run " +
                            std::to_string(known->second.value()) + " on " + vm.facts.id.str());
                }
            }
            machine& target = find(it.vm);
            if (draw_below(4) != 0) {
                target.running.emplace(it.task, it.run);
            }
            target.unanswered.push_back(it);
        }
    }

    base::metrics metrics_;
    fleet::clock_reading now_{base::time_point(std::chrono::seconds(100)),
                              fleet::unix_time(1'000'000)};
    fleet::scheduler owner_{fleet::fencing_token(2), {}, metrics_};
    std::vector<machine> vms_;
    int starts_ = 0;
};

RC_GTEST_PROP(fleet, task_is_started_only_without_runs_on_record, ()) {
    fleet_with_leftover_runs fleet;
    constexpr int steps = 300;
    for (int i = 0; i < steps; ++i) {
        fleet.step();
    }
    RC_CLASSIFY(fleet.starts() > 0, "tasks were started");
}

}  // namespace
