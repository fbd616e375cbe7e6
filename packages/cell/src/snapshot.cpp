// Builds the shortest list of records from which the work table can be rebuilt.
#include "snapshot.hpp"

#include "stage_finish.hpp"

namespace cranberrydock::cell {
namespace {

// Whether the task is in a phase in which the intent of an attempt is certain to be in the journal.
bool intent_is_written(const task_state& task) {
    return task.phase == task_phase::starting || task.phase == task_phase::running ||
           task.phase == task_phase::unresolved;
}

void add_intents(const work_state& work, std::vector<work_record>& out) {
    for (const auto& it : work.tasks) {
        if (it.current && intent_is_written(it)) {
            out.push_back(intent_record{work.spec.job, work.spec.team, work.spec.digest, it.id,
                                        it.current->id, it.current->vm, it.current->incarnation,
                                        it.current->number});
        }
    }
}

bool being_accepted(const work_state& work) {
    return !work.tasks.empty() && work.tasks.front().phase == task_phase::recording;
}

}  // namespace

std::vector<work_record> records_of(const work_table& table) {
    std::vector<work_record> out;
    for (const auto& it : table.works()) {
        const work_state& work = it.second;
        // Records that are still being written are in rows that are kept.
        if (!needs_record(work.spec) || being_accepted(work)) {
            continue;
        }
        if (work.spec.durable && work.known && !work.outcome_recorded) {
            out.push_back(accepted_record{work.spec});
        }
        if (!work.spec.repeatable) {
            add_intents(work, out);
        }
        if (work.outcome_recorded) {
            out.push_back(
                outcome_record{work.spec.job, work.spec.team, work.spec.digest, *work.outcome});
        }
    }
    return out;
}

}  // namespace cranberrydock::cell
