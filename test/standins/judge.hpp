// The judge: sees every start and end on the simulated VMs of its process and counts the promises
// that were broken, with the evidence. Tests assert that its total is 0.
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

enum class breach {
    overcommitted,         // more reserved on a VM than it has
    task_in_two_places,    // one task running twice at the same time
    repeated,              // work that may not be repeated started a second time
    start_on_lower_epoch,  // a VM took a start under an epoch below one that it had taken
    run_without_lease,     // a task ran on after its lease had lapsed
};

std::string to_string(breach kind);

// A task on a VM, as the judge follows it.
struct judged_run {
    base::vm_id vm;
    base::incarnation_id incarnation;
    base::attempt_id attempt;
    base::task_id task;
    base::resources reserved;
    base::resources capacity;  // of the VM
    base::epoch epoch;
    bool repeatable = true;
    // A name for the work beyond its task, given by the payload: also two tasks with the same mark
    // must not both run when the work may not be repeated. May be empty.
    std::string mark;
    base::time_point lease_until;
};

// Use on one thread.
class judge {
public:
    void started(const judged_run& run, base::time_point now);
    void renewed(const judged_run& run);
    // The task no longer runs; `last_ran` is when it last made progress.
    void ended(const judged_run& run, base::time_point last_ran);
    // Everything that ran on the VM is gone with it.
    void lost(const base::vm_id& vm);

    std::int64_t count(breach kind) const;
    std::int64_t total() const;
    std::int64_t starts() const { return starts_; }

    // The first breaches, one line each.
    const std::vector<std::string>& evidence() const { return evidence_; }

    // {"total":N,"starts":N,"counts":{NAME:N,...},"evidence":[...],"marks":[...]};
    // marks: of all work that ever started.
    std::string json() const;

private:
    struct place {
        base::vm_id vm;
        base::attempt_id attempt;
        friend bool operator<(const place& a, const place& b) {
            return a.vm != b.vm ? a.vm < b.vm : a.attempt < b.attempt;
        }
    };

    void record(breach kind, const judged_run& run, const std::string& detail);
    void check_elsewhere(const judged_run& run, base::time_point now);
    void check_once(const judged_run& run);
    void check_epoch(const judged_run& run);
    void check_room(const judged_run& run, base::time_point now);

    std::int64_t starts_ = 0;
    std::map<breach, std::int64_t> counts_;
    std::vector<std::string> evidence_;
    std::map<place, judged_run> running_;
    std::map<std::string, std::string> once_;  // work that may not be repeated -> where it started
    std::set<std::string> marks_;
    std::map<base::incarnation_id, base::epoch> epochs_;  // the highest under which one started
};

}  // namespace cranberrydock::standins
