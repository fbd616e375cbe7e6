// The checker of the simulated VMs. It is notified of every start and end of a run on the VMs of
// its process, and counts the violations of the system's promises, with evidence. Tests assert that
// their total is 0.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/units.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberrydock::standins {

enum class violation {
    overcommitted,         // the runs of a VM reserve more than its capacity
    task_in_two_places,    // one task has two runs at the same time
    repeated_run,          // work that must not be repeated started a second time
    start_on_lower_epoch,  // a VM accepted a start under a lower epoch than an earlier one
    run_without_lease,     // a run went on after its lease had expired
};

std::string to_string(violation kind);

// A run of a task on a VM.
struct checked_run {
    base::vm_id vm;
    base::incarnation_id incarnation;
    base::attempt_id attempt;
    base::task_id task;
    base::resources reserved;
    base::resources capacity;  // of the VM
    base::epoch epoch;
    bool repeatable = true;
    // Identifies the work independently of its task; taken from the payload. Two tasks with the
    // same mark must not both run if the work is not repeatable. May be empty.
    std::string work_mark;
    base::time_point lease_until;
};

// Use on one thread.
class run_checker {
public:
    void run_started(const checked_run& run, base::time_point now);
    void run_renewed(const checked_run& run);
    // The run has ended; `last_ran` is the time at which it last made progress.
    void run_ended(const checked_run& run, base::time_point last_ran);
    // The VM was lost with all its runs.
    void vm_lost(const base::vm_id& vm);

    std::int64_t count(violation kind) const;
    std::int64_t total() const;
    std::int64_t starts() const { return starts_; }

    // The first violations, one line each.
    const std::vector<std::string>& evidence() const { return evidence_; }

    // {"total":N,"starts":N,"counts":{NAME:N,...},"evidence":[...],"marks":[...]};
    // marks: the marks of all work that has started.
    std::string json() const;

private:
    struct run_key {
        base::vm_id vm;
        base::attempt_id attempt;
        friend bool operator<(const run_key& a, const run_key& b) {
            return a.vm != b.vm ? a.vm < b.vm : a.attempt < b.attempt;
        }
    };

    void record(violation kind, const checked_run& run, const std::string& detail);
    void check_single_run(const checked_run& run, base::time_point now);
    void check_not_repeated(const checked_run& run);
    void check_epoch(const checked_run& run);
    void check_capacity(const checked_run& run, base::time_point now);

    std::int64_t starts_ = 0;
    std::map<violation, std::int64_t> counts_;
    std::vector<std::string> evidence_;
    std::map<run_key, checked_run> running_;
    // "task ID" or "mark MARK" of work that is not repeatable -> its first start.
    std::map<std::string, std::string> first_starts_;
    std::set<std::string> marks_;
    std::map<base::incarnation_id, base::epoch> epochs_;  // the highest epoch of a start
};

}  // namespace cranberrydock::standins
