// The checker of the simulated VMs.
#include "run_checker.hpp"

#include <nlohmann/json.hpp>

namespace cranberrydock::standins {
namespace {

constexpr std::size_t max_evidence_lines = 50;

constexpr violation all_kinds[] = {violation::overcommitted, violation::task_in_two_places,
                                   violation::repeated_run, violation::start_on_lower_epoch,
                                   violation::run_without_lease};

std::string describe(const checked_run& run) {
    return "attempt " + run.attempt.str() + " of task " + run.task.str() + " on VM " +
           run.vm.str() + " under epoch " + std::to_string(run.epoch.value());
}

}  // namespace

std::string to_string(violation kind) {
    switch (kind) {
        case violation::overcommitted:
            return "overcommitted";
        case violation::task_in_two_places:
            return "task_in_two_places";
        case violation::repeated_run:
            return "repeated";
        case violation::start_on_lower_epoch:
            return "start_on_lower_epoch";
        case violation::run_without_lease:
            return "run_without_lease";
    }
    return "overcommitted";
}

void run_checker::run_started(const checked_run& run, base::time_point now) {
    ++starts_;
    check_single_run(run, now);
    check_not_repeated(run);
    check_epoch(run);
    running_[{run.vm, run.attempt}] = run;
    check_capacity(run, now);
}

void run_checker::run_renewed(const checked_run& run) {
    running_[{run.vm, run.attempt}] = run;
}

void run_checker::run_ended(const checked_run& run, base::time_point last_ran) {
    if (last_ran > run.lease_until) {
        record(violation::run_without_lease, run, "the run went on after its lease had expired");
    }
    running_.erase({run.vm, run.attempt});
}

void run_checker::vm_lost(const base::vm_id& vm) {
    for (auto it = running_.begin(); it != running_.end();) {
        it = it->first.vm == vm ? running_.erase(it) : std::next(it);
    }
}

// A run whose lease has expired does not count: the VM has stopped it, though the simulation's
// timer may not have fired yet.
void run_checker::check_single_run(const checked_run& run, base::time_point now) {
    for (const auto& it : running_) {
        if (it.second.task == run.task && it.second.lease_until > now) {
            record(violation::task_in_two_places, run, "while it ran as " + describe(it.second));
        }
    }
}

void run_checker::check_not_repeated(const checked_run& run) {
    if (!run.work_mark.empty()) {
        marks_.insert(run.work_mark);
    }
    if (run.repeatable) {
        return;
    }
    const auto task_entry = first_starts_.emplace("task " + run.task.str(), describe(run));
    if (!task_entry.second) {
        record(violation::repeated_run, run, "first started as " + task_entry.first->second);
    }
    if (!run.work_mark.empty()) {
        const auto mark_entry = first_starts_.emplace("mark " + run.work_mark, describe(run));
        if (!mark_entry.second && task_entry.second) {
            record(violation::repeated_run, run,
                   "the work marked " + run.work_mark + " first started as " +
                       mark_entry.first->second);
        }
    }
}

void run_checker::check_epoch(const checked_run& run) {
    auto& highest = epochs_[run.incarnation];
    if (run.epoch < highest) {
        record(violation::start_on_lower_epoch, run,
               "the VM had accepted a start under epoch " + std::to_string(highest.value()));
        return;
    }
    highest = run.epoch;
}

void run_checker::check_capacity(const checked_run& run, base::time_point now) {
    base::resources sum;
    for (const auto& it : running_) {
        if (it.second.vm == run.vm && it.second.lease_until > now) {
            sum += it.second.reserved;
        }
    }
    if (!base::fits(sum, run.capacity)) {
        record(violation::overcommitted, run,
               "memory reserved " + std::to_string(sum.memory.value()) + " of " +
                   std::to_string(run.capacity.memory.value()) + " MiB, cores " +
                   std::to_string(sum.cores.value()) + " of " +
                   std::to_string(run.capacity.cores.value()) + " millicores, slots " +
                   std::to_string(sum.slots.value()) + " of " +
                   std::to_string(run.capacity.slots.value()));
    }
}

void run_checker::record(violation kind, const checked_run& run, const std::string& detail) {
    ++counts_[kind];
    if (evidence_.size() < max_evidence_lines) {
        evidence_.push_back(to_string(kind) + ": " + describe(run) + ": " + detail);
    }
}

std::int64_t run_checker::count(violation kind) const {
    const auto it = counts_.find(kind);
    return it == counts_.end() ? 0 : it->second;
}

std::int64_t run_checker::total() const {
    std::int64_t sum = 0;
    for (const auto& it : counts_) {
        sum += it.second;
    }
    return sum;
}

std::string run_checker::json() const {
    nlohmann::json counts = nlohmann::json::object();
    for (const auto it : all_kinds) {
        counts[to_string(it)] = count(it);
    }
    return nlohmann::json{{"total", total()},
                          {"starts", starts_},
                          {"counts", counts},
                          {"evidence", evidence_},
                          {"marks", marks_}}
        .dump();
}

}  // namespace cranberrydock::standins
