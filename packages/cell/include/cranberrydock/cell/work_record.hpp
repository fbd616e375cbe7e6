// The journal records with which the next owner of a cell can keep the promises of the previous
// one. Work that may be repeated and whose caller is still waiting needs none of them.
#pragma once

#include <cranberrydock/base/ids.hpp>
#include <cranberrydock/base/work.hpp>

#include <string>
#include <variant>

namespace cranberrydock::cell {

// Durable work was accepted. The caller is informed only after this record is written.
struct accepted_record {
    base::work spec;
};

// A task that may not be repeated is about to be dispatched. Written before the command is sent to
// the VM.
struct intent_record {
    base::job_id job;
    base::team_id team;
    std::string digest;  // of the work's body
    base::task_id task;
    base::attempt_id attempt;
    base::vm_id vm;
    base::incarnation_id incarnation;
    int number = 1;  // number of this attempt of the task
};

// The attempt of an intent is proven not to have run.
struct not_run_record {
    base::job_id job;
    base::task_id task;
    base::attempt_id attempt;
};

// The work has ended. Kept for retries with the same key.
struct outcome_record {
    base::job_id job;
    base::team_id team;
    std::string digest;
    base::work_outcome outcome;
};

using work_record = std::variant<accepted_record, intent_record, not_run_record, outcome_record>;

}  // namespace cranberrydock::cell
