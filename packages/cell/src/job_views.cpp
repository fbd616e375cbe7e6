// The view of a job that callers and operators receive.
#include "job_views.hpp"

#include <string>
#include <variant>

namespace cranberrydock::cell {
namespace {

bool runs(const task_state& task) {
    return task.phase == task_phase::starting || task.phase == task_phase::running;
}

void add_task(base::job_view& out, const task_state& task) {
    out.attempts += task.attempts;
    out.tasks_running += runs(task) ? 1 : 0;
    out.tasks_done += task.answer ? 1 : 0;
    if (task.current) {
        out.vms.push_back(task.current->vm);
    }
    if (task.answer) {
        out.vms.push_back(task.answer->vm);
        out.answers.push_back(*task.answer);
    }
    out.attempt_reasons.insert(out.attempt_reasons.end(), task.attempt_reasons.begin(),
                               task.attempt_reasons.end());
}

// Sets the state and the reason of a job view from an outcome.
class outcome_reader {
public:
    explicit outcome_reader(base::job_view& out) : out_(out) {}

    void operator()(const base::work_accepted& /*accepted*/) const {}

    void operator()(const base::work_answered& answered) const {
        out_.state = base::job_state::done;
        out_.answers = answered.answers;
    }

    void operator()(const base::refusal& refused) const {
        const bool unknown = refused.reason == base::refusal_reason::outcome_unknown;
        out_.state = unknown ? base::job_state::outcome_unknown : base::job_state::refused;
        out_.why = std::string(to_string(refused.reason)) + ": " + refused.detail;
        out_.refused = refused;
    }

private:
    base::job_view& out_;
};

std::string reason_not_running(const work_state& work, const policy::scheduler& scheduler) {
    for (const auto& it : work.tasks) {
        switch (it.phase) {
            case task_phase::queued:
                return scheduler.why_waiting(it.id).text;
            case task_phase::recording:
            case task_phase::recording_intent:
                return "being written to the journal in the platform's store";
            case task_phase::held:
                return "may still run on a VM that has not reported to this owner yet";
            case task_phase::backing_off:
                return "waits for its next attempt";
            case task_phase::unresolved:
                return "its VM is unresponsive; waiting for its report of the outcome";
            default:
                break;
        }
    }
    return "";
}

}  // namespace

base::job_view view_of(const work_state& work, const policy::scheduler& scheduler) {
    base::job_view out;
    out.job = work.spec.job;
    out.team = work.spec.team;
    out.queue = work.spec.queue;
    out.kind = work.spec.kind;
    out.tasks = work.tasks.size();
    out.trace = work.trace;
    for (const auto& it : work.tasks) {
        add_task(out, it);
    }
    if (may_report_outcome(work)) {
        std::visit(outcome_reader(out), *work.outcome);
        return out;
    }
    out.state = out.tasks_running > 0 ? base::job_state::running : base::job_state::queued;
    out.why = work.outcome ? "its refusal is being written to the journal"
                           : reason_not_running(work, scheduler);
    return out;
}

}  // namespace cranberrydock::cell
