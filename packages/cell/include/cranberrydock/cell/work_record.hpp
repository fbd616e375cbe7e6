// What an owner writes down of work, so that the next owner keeps its promises. Work that may be
// repeated and whose caller is still waiting needs none of this.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/work.hpp>

#include <string>
#include <variant>

namespace cranberrydock::cell {

// Durable work was accepted; the caller is told so only after this is written.
struct accepted_record {
    base::work what;
};

// A task that may not be repeated is about to be dispatched; written before the VM is told.
struct intent_record {
    base::job_id job;
    base::team_id team;
    std::string digest;  // of the work's body
    base::task_id task;
    base::attempt_id attempt;
    base::vm_id vm;
    base::incarnation_id incarnation;
    int number = 1;  // which attempt of this task
};

// The attempt of that intent is proven not to have run.
struct not_run_record {
    base::job_id job;
    base::task_id task;
    base::attempt_id attempt;
};

// The work has ended; kept for retries with the same key.
struct outcome_record {
    base::job_id job;
    base::team_id team;
    std::string digest;
    base::work_outcome outcome;
};

using work_record = std::variant<accepted_record, intent_record, not_run_record, outcome_record>;

}  // namespace cranberrydock::cell
